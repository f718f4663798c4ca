package recoverer_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/invariant/recoverer"
)

// serve runs the handler behind a Recoverer and returns the answer and the violation passed to EndProcess, if any.
func serve(h http.HandlerFunc) (*httptest.ResponseRecorder, *asserter.Violation) {
	var violation *asserter.Violation
	r := recoverer.New(recoverer.Config{
		Handler: h, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		EndProcess: func(v *asserter.Violation) { violation = v },
	})
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	return w, violation
}

func TestPanicIsAnsweredWithInternalError(t *testing.T) {
	is := is.New(t)
	w, violation := serve(func(http.ResponseWriter, *http.Request) { panic("nil map") })
	is.Equal(w.Code, http.StatusInternalServerError)
	is.True(strings.Contains(w.Body.String(), "RESULT_CODE_INTERNAL"))
	is.Equal(violation, nil)
}

func TestViolatedInvariantEndsProcess(t *testing.T) {
	is := is.New(t)
	a := asserter.New(asserter.Config{Fatal: true})
	_, violation := serve(func(http.ResponseWriter, *http.Request) { a.Check(false, "some_invariant") })
	is.True(violation != nil)
	is.True(strings.Contains(violation.Error(), "some_invariant"))
}
