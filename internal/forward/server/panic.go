package server

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/invariant/isolator"
)

const (
	// answerNone means that nothing of the answer has been written, answerBegun that a part of it may have been, and
	// answerWritten that all of it has been.
	answerNone answerState = iota
	answerBegun
	answerWritten
)

// maxStackBytes bounds the part of a stack that is logged.
const maxStackBytes = 4 << 10

type answerState int

// handlePanic is deferred by the handling of a request. A request whose handling panics may have run, so its caller is
// not told otherwise.
func (x *exchange) handlePanic() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	endOnViolation(p)
	x.reportPanic(p)
	if x.answer == answerNone {
		x.failAfterPanic()
	}
	if x.answer != answerWritten {
		panic(http.ErrAbortHandler) // an answer that breaks off must not look complete
	}
}

// failAfterPanic answers that the request has failed. What has panicked before may do so again.
func (x *exchange) failAfterPanic() {
	defer func() {
		if p := recover(); p != nil {
			x.reportPanic(p)
		}
	}()
	clear(x.writer.Header())
	x.fail(http.StatusBadGateway, "panicked", gatherer.Result{})
}

func (x *exchange) reportPanic(p any) {
	stack := debug.Stack()
	x.server.config.Logger.Error("handling of a request panicked", "request_id", x.id, "route", x.routeName(),
		"stage", stageName(x.stage.Load()), "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if x.server.config.OnPanic != nil {
		x.server.config.OnPanic()
	}
}

// endOnViolation ends the process if a value from recover is a violated invariant; net/http would hide its panic.
func endOnViolation(p any) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		isolator.RepanicViolation(p)
	}()
	<-ended
}
