package exchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/memory/collector"
	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
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
	// maxStatus is the highest status that the protocol has a class for.
	maxStatus = 599
	// maxFramingFactor bounds what is read of a body, framing and trailer included, as a multiple of the largest body.
	maxFramingFactor = 2
	// smallBodyBytes is the largest body of an answer for which no memory is reserved, and the largest body of a request
	// that is sent together with its head.
	smallBodyBytes = 16 << 10
)

// exchange sends one request on the connection and reads its answer. reusable is set when the connection may carry
// another request.
func (e *Exchanger) exchange(ctx context.Context, c *connection, r Request) (reply *Reply, reusable bool, err error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, err
	}
	readBefore := c.limiter.Total()
	defer func() { e.countBytes(r, c.limiter.Total()-readBefore) }()
	// A leaf may answer and close before it has read the whole body, so an answer is read even after a failed
	// write.
	writeError := e.writeRequest(c, r)
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

// countBytes reports the bytes of a request that was sent and the number of bytes that have been read since.
func (e *Exchanger) countBytes(r Request, read int64) {
	if e.config.OnBytes != nil {
		e.config.OnBytes(len(r.Head) + len(r.Body) + addedFieldsBytes + int(read))
	}
}

// writeRequest writes the request. A large body is not copied, because the calls of all shards share it.
func (e *Exchanger) writeRequest(c *connection, r Request) error {
	if len(r.Body) <= smallBodyBytes {
		_, err := c.Write(append(e.encodeHead(r, len(r.Body)), r.Body...))
		return err
	}
	if _, err := c.Write(e.encodeHead(r, 0)); err != nil {
		return err
	}
	_, err := c.Write(r.Body)
	return err
}

// encodeHead returns the head of the request, completed with the fields that depend on leaf and time, with space for
// spaceBytes more bytes.
func (e *Exchanger) encodeHead(r Request, spaceBytes int) []byte {
	left := max(minTimeLeft, time.Until(r.Deadline)).Milliseconds()
	m := make([]byte, 0, len(r.Head)+spaceBytes+addedFieldsBytes)
	m = append(m, r.Head...)
	m = append(m, e.config.HeaderNames.TimeLeft...)
	m = append(m, ": "...)
	m = strconv.AppendInt(m, left, 10)
	m = append(m, "\r\n"...)
	m = append(m, e.config.HeaderNames.LeafID...)
	m = append(m, ": "...)
	m = append(m, e.config.LeafID...)
	return append(m, "\r\n\r\n"...)
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
	body, memory, err := e.readBody(ctx, response, r.Deadline)
	if err != nil {
		return nil, false, false, errors.Wrap(c.readError(err), "read response body")
	}
	defer func() {
		if reply == nil {
			memory.Release()
		}
	}()
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
		Status: response.StatusCode, Header: response.Header, Body: body, memory: memory,
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
			return nil, errors.Wrap(c.readError(err), "read response head")
		}
		switch {
		case !isAnswer(response):
			// What follows may be its body.
			return nil, errors.Wrapf(errMalformed, "%s %d", response.Proto, response.StatusCode)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errors.Wrap(readlimiter.ErrLimit, "too many informational answers")
}

// isAnswer reports whether a head is that of an answer by HTTP/1, final or informational. A switch of protocols is
// none: no request asks for it.
func isAnswer(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.StatusCode >= http.StatusContinue && r.StatusCode <= maxStatus &&
		r.StatusCode != http.StatusSwitchingProtocols
}

// readError marks an error of reading an answer that does not come from the connection or its end but from the bytes
// that have arrived.
func (c *connection) readError(err error) error {
	var connectionError net.Error
	switch {
	case c.limiter.Exceeded(), errors.Is(err, http.ErrLineTooLong):
		return errors.Mark(err, readlimiter.ErrLimit)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, context.Canceled),
		errors.As(err, &connectionError), errors.Is(err, readlimiter.ErrLimit):
		return err
	}
	return errors.Mark(err, errMalformed)
}

// readBody returns the complete body and the memory that is reserved for it. A body that ends early or exceeds
// MaxAnswerBytes is an error.
func (e *Exchanger) readBody(
	ctx context.Context, response *http.Response, deadline time.Time,
) ([]byte, *reserver.Reservation, error) {
	limit, stated := e.config.MaxAnswerBytes, response.ContentLength
	if response.Body == http.NoBody {
		return nil, nil, nil // whatever length the answer to a HEAD states
	}
	if stated > limit {
		return nil, nil, errors.Wrapf(readlimiter.ErrLimit, "response body of %d bytes", stated)
	}
	if stated < 0 {
		return e.readUnstatedBody(ctx, response, deadline)
	}
	var memory *reserver.Reservation
	if stated > smallBodyBytes {
		var err error
		if memory, err = e.reserve(ctx, stated, deadline); err != nil {
			return nil, nil, err
		}
	}
	body := make([]byte, stated)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		memory.Release()
		return nil, nil, errors.Wrap(io.ErrUnexpectedEOF, err.Error())
	}
	return body, memory, nil
}

// readUnstatedBody is readBody for a body whose length is not stated. Room for the largest body is reserved as soon as
// the body turns out not to be small; what the body did not need is released at its end.
func (e *Exchanger) readUnstatedBody(
	ctx context.Context, response *http.Response, deadline time.Time,
) ([]byte, *reserver.Reservation, error) {
	limit := e.config.MaxAnswerBytes
	body := collector.New(collector.Config{Source: response.Body})
	complete, err := body.Collect(min(smallBodyBytes, limit))
	if complete || err != nil {
		return body.Bytes(), nil, err
	}
	memory, err := e.reserve(ctx, collector.Room(limit), deadline)
	if err != nil {
		return nil, nil, err
	}
	complete, err = body.Collect(limit)
	if err == nil && !complete {
		if complete, err = body.Ended(); err == nil && !complete {
			err = errors.Wrapf(readlimiter.ErrLimit, "response body of more than %d bytes", limit)
		}
	}
	if err != nil {
		memory.Release()
		return nil, nil, err
	}
	memory.Shrink(int64(cap(body.Bytes())))
	return body.Bytes(), memory, nil
}

// reserve reserves memory for a large answer. It waits for it at most until the deadline.
func (e *Exchanger) reserve(ctx context.Context, bytes int64, deadline time.Time) (*reserver.Reservation, error) {
	if e.config.Memory == nil {
		return nil, nil //nolint:nilnil // a nil Reservation has no room and needs none
	}
	if v := e.config.Memory.TryReserve(bytes); v != nil {
		return v, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	v, err := e.config.Memory.Reserve(ctx, bytes)
	return v, errors.Wrap(err, "wait for memory for a large response body")
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
