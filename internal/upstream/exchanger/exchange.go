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
	// maxMismatchedAnswers is how many answers to other requests may arrive before the one that is due.
	maxMismatchedAnswers = 2
	// addedFieldsBytes is the buffer space for the two header fields that are added to a head.
	addedFieldsBytes = 160
)

// exchange sends one request on the connection and reads its answer. reusable is set when the connection may carry
// another request.
func (e *Exchanger) exchange(c *connection, r Request) (reply *Reply, reusable bool, err error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, err
	}
	// A leaf may answer and close before it has read the whole body, so an answer is read even after a failed
	// write.
	_, writeError := c.Write(e.encode(r))
	mismatched := 0
	for ; mismatched <= maxMismatchedAnswers; mismatched++ {
		var matched bool
		reply, reusable, matched, err = e.readAnswer(c, r)
		if err != nil || matched {
			break
		}
	}
	reusable = reusable && mismatched == 0
	if err == nil && reply == nil {
		err = errors.New("every answer carried the ID of another request")
	}
	if err != nil {
		return nil, false, errors.CombineErrors(err, writeError)
	}
	return reply, reusable && writeError == nil && c.reader.Buffered() == 0, nil
}

// encode returns the bytes of the request: its head, completed with the fields that depend on leaf and time, and its
// body.
func (e *Exchanger) encode(r Request) []byte {
	left := max(1, time.Until(r.Deadline).Milliseconds())
	m := make([]byte, 0, len(r.Head)+len(r.Body)+addedFieldsBytes)
	m = append(m, r.Head...)
	m = append(m, e.config.HeaderNames.TimeLeft...)
	m = append(m, ": "...)
	m = strconv.AppendInt(m, left, 10)
	m = append(m, "\r\n"...)
	m = append(m, e.config.HeaderNames.LeafID...)
	m = append(m, ": "...)
	m = append(m, e.config.LeafID...)
	m = append(m, "\r\n\r\n"...)
	return append(m, r.Body...)
}

// readAnswer reads one answer. matched is false when the answer belongs to another request.
func (e *Exchanger) readAnswer(c *connection, r Request) (reply *Reply, reusable, matched bool, err error) {
	response, err := e.readHead(c, r)
	if err != nil {
		return nil, false, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := e.readBody(response)
	if err != nil {
		return nil, false, false, errors.Wrap(err, "read response body")
	}
	names := e.config.HeaderNames
	if echoed := response.Header.Get(names.RequestID); echoed != "" && echoed != r.ID {
		return nil, false, false, nil
	}
	if response.Header.Get("Content-Encoding") != "" {
		return nil, false, false, errors.New("answer has a Content-Encoding")
	}
	reply = &Reply{
		Status: response.StatusCode, Header: response.Header, Body: body,
		NotRun: response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != "",
		// A header of several values is no signature.
		Signature: response.Header.Get(names.Signature),
	}
	c.expiresAt = time.Now().Add(idleTimeout(response.Header))
	delimited := response.ContentLength != -1 || len(response.TransferEncoding) > 0
	return reply, delimited && !response.Close, true, nil
}

func (e *Exchanger) readHead(c *connection, r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read response head")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// readBody returns the complete body. A body that ends early or exceeds MaxAnswerBytes is an error.
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
		return nil, errors.Newf("response body exceeds %d bytes", e.config.MaxAnswerBytes)
	}
	return body, nil
}

// idleTimeout returns how long an idle connection may be kept: the timeout that the leaf states, less a margin, or
// the default.
func idleTimeout(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
