package exchanger

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxStrays is how many answers to other requests may come before the one that is due.
	maxStrays = 2
	// expectedHeadBytes is room for the two header fields that are added to a head.
	expectedHeadBytes = 160
)

// exchange sends one request on the connection and reads its answer. keep tells whether the connection may
// carry another request.
func (e *Exchanger) exchange(c *connection, r Request) (reply *Reply, keep bool, err error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, err
	}
	// A leaf may answer and close before it has read the whole body, so an answer is looked for even when
	// not everything could be written.
	_, writeError := c.Write(e.message(r))
	strays := 0
	for ; strays <= maxStrays; strays++ {
		var mine bool
		reply, keep, mine, err = e.read(c, r)
		if err != nil || mine {
			break
		}
	}
	keep = keep && strays == 0
	if err == nil && reply == nil {
		err = errors.New("only answers to other requests")
	}
	if err != nil {
		return nil, false, errors.CombineErrors(err, writeError)
	}
	return reply, keep && writeError == nil && c.reader.Buffered() == 0, nil
}

// message completes the head with the fields that depend on leaf and time.
func (e *Exchanger) message(r Request) []byte {
	left := max(1, time.Until(r.Deadline).Milliseconds())
	m := make([]byte, 0, len(r.Head)+len(r.Body)+expectedHeadBytes)
	m = append(m, r.Head...)
	m = append(m, e.config.Names.TimeLeft...)
	m = append(m, ": "...)
	m = strconv.AppendInt(m, left, 10)
	m = append(m, "\r\n"...)
	m = append(m, e.config.Names.LeafID...)
	m = append(m, ": "...)
	m = append(m, e.config.LeafID...)
	m = append(m, "\r\n\r\n"...)
	return append(m, r.Body...)
}

// read reads one answer. mine is false when it belongs to another request.
func (e *Exchanger) read(c *connection, r Request) (reply *Reply, keep, mine bool, err error) {
	response, err := e.readHead(c, r)
	if err != nil {
		return nil, false, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := e.readBody(response)
	if err != nil {
		return nil, false, false, errors.Wrap(err, "read body")
	}
	names := e.config.Names
	if echoed := response.Header.Get(names.RequestID); echoed != "" && echoed != r.ID {
		return nil, false, false, nil
	}
	if response.Header.Get("Content-Encoding") != "" {
		return nil, false, false, errors.New("answer is encoded")
	}
	reply = &Reply{
		Status: response.StatusCode, Header: response.Header, Body: body,
		NotRun: response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != "",
		// A header of several values is no signature.
		Signature: response.Header.Get(names.Signature),
	}
	c.expires = time.Now().Add(idleTime(response.Header))
	framed := response.ContentLength != -1 || len(response.TransferEncoding) > 0
	return reply, framed && !response.Close, true, nil
}

func (e *Exchanger) readHead(c *connection, r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read head")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// readBody returns the whole body; a body that ends early is an error.
func (e *Exchanger) readBody(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= e.config.MaxAnswerBytes {
		body := make([]byte, n)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, err.Error())
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, e.config.MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > e.config.MaxAnswerBytes {
		return nil, errors.Newf("body exceeds %d bytes", e.config.MaxAnswerBytes)
	}
	return body, nil
}

// idleTime returns how long a connection may be kept, as the leaf states it.
func idleTime(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
