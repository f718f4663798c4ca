package server

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// maxStackBytes bounds the part of a stack that is logged.
const maxStackBytes = 4 << 10

// handlePanic is deferred by the handling of a request. It logs and counts a panic; net/http closes the connection.
func (x *exchange) handlePanic() {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	x.reportPanic(p)
	panic(http.ErrAbortHandler)
}

func (x *exchange) reportPanic(p any) {
	stack := debug.Stack()
	x.server.config.Logger.Error("handling of a request panicked", "request_id", x.id, "route", x.routeName(),
		"stage", stageName(x.stage.Load()), "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if x.server.config.OnPanic != nil {
		x.server.config.OnPanic()
	}
}
