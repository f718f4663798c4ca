// Package recoverer is HTTP middleware that handles panics. A panic in one request is answered with the code
// INTERNAL, logged and counted, and does not end the node. A violated invariant ends the process: net/http
// would otherwise recover from its panic and hide it.
package recoverer

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

type (
	// Config holds what a Recoverer needs.
	Config struct {
		Handler http.Handler
		Logger  *slog.Logger
		Metrics *metrics.Set
		// EndProcess ends the process; nil means a panic that is not recovered.
		EndProcess func(v *asserter.Violation)
	}

	// Recoverer is an HTTP handler that wraps another one.
	Recoverer struct {
		config Config
		panics *metrics.Counter
	}
)

// New returns a Recoverer.
func New(c Config) *Recoverer {
	if c.EndProcess == nil {
		c.EndProcess = panicOutsideHandler
	}
	return &Recoverer{config: c, panics: c.Metrics.GetOrCreateCounter("magnoliastep_panics_total")}
}

// ServeHTTP implements http.Handler.
func (r *Recoverer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			r.handle(w, request, p)
		}
	}()
	r.config.Handler.ServeHTTP(w, request)
}

func (r *Recoverer) handle(w http.ResponseWriter, request *http.Request, p any) {
	err, isError := p.(error)
	if isError && errors.Is(err, http.ErrAbortHandler) {
		panic(p) // net/http aborts the connection on this panic
	}
	var violation *asserter.Violation
	if isError && errors.As(err, &violation) {
		r.config.EndProcess(violation)
		return
	}
	r.panics.Inc()
	r.config.Logger.Error("request panicked", "path", request.URL.Path, "panic", fmt.Sprint(p),
		"stack", string(debug.Stack()))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = fmt.Fprintf(w, `{"code":%q,"message":"a fault in the program"}`, pb.ResultCode_RESULT_CODE_INTERNAL)
}

// panicOutsideHandler panics on a separate goroutine, where net/http does not recover.
func panicOutsideHandler(v *asserter.Violation) {
	go func() { panic(v) }()
	select {}
}
