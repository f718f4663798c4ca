package server

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/forward/deferrer"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/memory/collector"
)

const (
	// smallBodyBytes is the largest body of a request for which no memory is reserved, and the largest body of an answer
	// that is written without a deadline, because it has room in the buffers of the connection.
	smallBodyBytes = 16 << 10
	// writeMargin is how long after the caller's time is over a large answer may still be written.
	writeMargin = 2 * time.Second
)

// errNoMemory means that there is no memory for a body.
var errNoMemory = errors.New("no memory for a body")

// readBody reads the request's body. If that fails, it answers the caller and returns false.
func (x *exchange) readBody(limit int64) ([]byte, bool) {
	if x.request.Body == nil || x.request.ContentLength == 0 {
		return nil, true
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	// Limits the wait for a caller that stops in the middle of its body to the timeout of the route.
	control := http.NewResponseController(x.writer)
	reads := &x.server.bodyReads
	if err := reads.begin(control, x.arrivedAt.Add(x.route.Timeout)); err != nil {
		x.server.config.Logger.Debug("failed to set the read deadline of a request body", "request_id", x.id, "error", err)
	}
	body, err := x.collectBody(limit)
	reads.end(control)
	if err != nil {
		x.refuseBody(err)
		return nil, false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.server.config.Logger.Debug("failed to clear the read deadline of a request body", "request_id", x.id, "error", err)
	}
	return body, true
}

// refuseBody answers a request whose body could not be read.
func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		x.writer.Header().Set("Connection", "close")
		x.refuse("no_memory", deferrer.NoCapacity, gatherer.Result{})
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large", gatherer.Result{})
	case errors.Is(err, os.ErrDeadlineExceeded) && x.server.bodyReads.ended(time.Now()):
		x.writer.Header().Set("Connection", "close")
		x.refuse("node_stopping", deferrer.NodeStopping, gatherer.Result{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusRequestTimeout, "body_too_slow", gatherer.Result{})
	default:
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusBadRequest, "body_not_read", gatherer.Result{})
	}
}

// reserveBody reserves memory for a body, and reports whether there is enough.
func (x *exchange) reserveBody(bytes int64) bool {
	if x.server.config.Memory == nil || bytes <= smallBodyBytes {
		return true
	}
	x.memory = x.server.config.Memory.TryReserve(bytes)
	return x.memory != nil
}

// collectBody reads the whole body. A body of more than limit bytes is an http.MaxBytesError, and one for which there
// is no memory an errNoMemory.
func (x *exchange) collectBody(limit int64) ([]byte, error) {
	stated := x.request.ContentLength
	if stated < 0 {
		return x.collectUnstatedBody(limit)
	}
	if stated > limit {
		x.writer.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if !x.reserveBody(stated) {
		return nil, errNoMemory
	}
	body := make([]byte, stated)
	_, err := io.ReadFull(x.request.Body, body)
	return body, err
}

// collectUnstatedBody is collectBody for a body whose length is not stated. Room for the largest body is reserved as
// soon as the body turns out not to be small; what it did not need is released at its end.
func (x *exchange) collectUnstatedBody(limit int64) ([]byte, error) {
	reader := http.MaxBytesReader(x.writer, x.request.Body, limit)
	body := collector.New(collector.Config{Source: reader})
	// The limit is a byte higher, so that the reader's own is the one that ends a body.
	complete, err := body.Collect(min(smallBodyBytes, limit+1))
	if complete || err != nil {
		return body.Bytes(), err
	}
	if !x.reserveBody(collector.Room(limit)) {
		return nil, errNoMemory
	}
	complete, err = body.Collect(limit + 1)
	if err == nil && !complete {
		err = &http.MaxBytesError{Limit: limit}
	}
	x.memory.Shrink(int64(cap(body.Bytes())))
	return body.Bytes(), err
}

// writeBytes writes the body of an answer. A caller that does not read a large one loses it some time after it has
// stopped waiting, so that the answer does not take memory for good.
func (x *exchange) writeBytes(body []byte) {
	if len(body) <= smallBodyBytes {
		_, _ = x.writer.Write(body) // fails only if the caller has disconnected
		return
	}
	wait := x.remaining
	if x.route != nil {
		wait = min(wait, x.route.Timeout)
	}
	deadline := x.arrivedAt.Add(wait)
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	control := http.NewResponseController(x.writer)
	if err := control.SetWriteDeadline(deadline.Add(writeMargin)); err != nil {
		x.server.config.Logger.Debug("failed to set the write deadline of an answer", "request_id", x.id, "error", err)
	}
	// Fails if the caller has disconnected or its time is over. net/http clears the deadline after each request.
	_, _ = x.writer.Write(body)
}
