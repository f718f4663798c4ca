package exchanger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/upstream/readlimiter"
)

const (
	// maxMismatchedAnswers is how many answers to other requests may arrive before the one that is due.
	maxMismatchedAnswers = 2
	// addedFieldsBytes is the buffer space for the two header fields that are added to a head.
	addedFieldsBytes = 160
	// maxHeadBytes bounds what is read of the head of one answer, with the informational answers before it.
	maxHeadBytes = 64 << 10
	// maxInformationalAnswers is how many informational answers may come before the answer.
	maxInformationalAnswers = 8
	// maxFramingFactor bounds what is read of a body, framing and trailer included, as a multiple of the largest body.
	maxFramingFactor = 2
	// smallBodyBytes is the largest body for which memory is allocated before the body has arrived.
	smallBodyBytes = 64 << 10
)

// exchange sends one request on the connection and reads its answer. reusable is set when the connection may carry
// another request.
func (e *Exchanger) exchange(ctx context.Context, c *connection, r Request) (reply *Reply, reusable bool, err error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, err
	}
	// A leaf may answer and close before it has read the whole body, so an answer is read even after a failed
	// write.
	_, writeError := c.Write(e.encode(r))
	mismatched := 0
	for ; mismatched <= maxMismatchedAnswers; mismatched++ {
		var matched bool
		reply, reusable, matched, err = e.readAnswer(ctx, c, r)
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
	left := max(minTimeLeft, time.Until(r.Deadline)).Milliseconds()
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

// readAnswer reads one answer. matched is false when the answer belongs to another request. The response's body is not
// closed: that would read an excessive body to its end, and a connection whose answer was not read whole is not used
// again.
func (e *Exchanger) readAnswer(
	ctx context.Context, c *connection, r Request,
) (reply *Reply, reusable, matched bool, err error) {
	response, err := e.readHead(c, r) //nolint:bodyclose // see above
	if err != nil {
		return nil, false, false, err
	}
	c.limiter.Allow(maxFramingFactor*e.config.MaxAnswerBytes + maxHeadBytes)
	body, err := e.readBody(ctx, response, r.Deadline)
	if err != nil {
		return nil, false, false, errors.Wrap(err, "read response body")
	}
	names := e.config.HeaderNames
	echoed := response.Header.Get(names.RequestID)
	if echoed != "" && echoed != r.ID {
		return nil, false, false, nil
	}
	unidentified := echoed == "" && c.echoes
	if unidentified && response.StatusCode/100 == 2 {
		// It could be a copy of an earlier answer on this connection.
		return nil, false, false, errors.New("success without the request ID from a leaf that echoes it")
	}
	c.echoes = c.echoes || echoed != ""
	if response.Header.Get("Content-Encoding") != "" {
		return nil, false, false, errors.New("answer has a Content-Encoding")
	}
	reply = &Reply{
		Status: response.StatusCode, Header: response.Header, Body: body,
		NotRun: response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != "",
		// A header of several values is no signature.
		Signature:    response.Header.Get(names.Signature),
		Unidentified: unidentified,
	}
	c.expiresAt = time.Now().Add(idleTimeout(response.Header))
	delimited := response.ContentLength != -1 || len(response.TransferEncoding) > 0
	return reply, delimited && !response.Close && !unidentified, true, nil
}

// readHead reads the head of the answer, and skips informational answers.
func (e *Exchanger) readHead(c *connection, r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	c.limiter.Allow(maxHeadBytes)
	for range maxInformationalAnswers + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read response head")
		}
		switch {
		case response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols:
			return response, nil
		case response.StatusCode < http.StatusContinue:
			// It is no informational answer, so what follows may be its body.
			return nil, errors.Newf("status %d is not valid", response.StatusCode)
		}
	}
	return nil, errors.Wrap(readlimiter.ErrLimit, "too many informational answers")
}

// readBody returns the complete body. A body that ends early or exceeds MaxAnswerBytes is an error.
func (e *Exchanger) readBody(ctx context.Context, response *http.Response, deadline time.Time) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil // an answer to HEAD may state the length of a body that it does not have
	}
	limit, stated := e.config.MaxAnswerBytes, response.ContentLength
	if stated > limit {
		return nil, errors.Wrapf(readlimiter.ErrLimit, "response body of %d bytes", stated)
	}
	if stated >= 0 && stated <= smallBodyBytes {
		body := make([]byte, stated)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, err.Error())
		}
		return body, nil
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(response.Body, smallBodyBytes)); err != nil {
		return nil, err
	}
	if body.Len() == smallBodyBytes {
		if err := e.readLargeBody(ctx, &body, response, deadline); err != nil {
			return nil, err
		}
	}
	if int64(body.Len()) > limit {
		return nil, errors.Wrapf(readlimiter.ErrLimit, "response body of more than %d bytes", limit)
	}
	return body.Bytes(), nil
}

// readLargeBody reads the rest of a large body. It waits until there is room for it among the large answers of all
// leaves, at most until the deadline.
func (e *Exchanger) readLargeBody(
	ctx context.Context, body *bytes.Buffer, response *http.Response, deadline time.Time,
) error {
	room := response.ContentLength
	if room < 0 {
		room = e.config.MaxAnswerBytes
	}
	if e.config.LargeAnswers != nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if err := e.config.LargeAnswers.Acquire(ctx, room); err != nil {
			return errors.Wrap(err, "wait for room for a large response body")
		}
		defer e.config.LargeAnswers.Release(room)
	}
	_, err := body.ReadFrom(io.LimitReader(response.Body, e.config.MaxAnswerBytes+1-int64(body.Len())))
	return err
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
