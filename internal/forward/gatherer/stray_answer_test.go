package gatherer_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
)

// fields are header fields of an answer.
type fields map[string]string

// answerFirstThen returns a handler that answers the first request successfully, and all others with a status and
// header fields. "{id}" stands for the request ID.
func answerFirstThen(status int, f fields) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) == 1 {
			answerAfter(0)(w, r)
			return
		}
		for name, value := range f {
			if value == "{id}" {
				value = r.Header.Get("Id")
			}
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
	}
}

// Guards against answers without request ID or signature that reach the caller, or make a request run twice, and
// against statuses that promise wrongly that a request has not run.
func TestAnswerThatMayBelongToNoRequestIsNotTrusted(t *testing.T) {
	for _, c := range []struct {
		name        string
		leaf        http.HandlerFunc
		idempotent  bool
		want        gatherer.Outcome
		leafFailure int
		farCalls    int64
	}{
		{"rejection without ID", answerFirstThen(503, fields{"Not-Run": "1"}), false, gatherer.OutcomeFailed, 0, 0},
		{
			"rejection without ID, idempotent", answerFirstThen(503, fields{"Not-Run": "1"}), true, gatherer.OutcomeAnswered,
			0, 1,
		},
		{
			"rejection with ID", answerFirstThen(503, fields{"Not-Run": "1", "Id": "{id}"}), false,
			gatherer.OutcomeAnswered, 0, 1,
		},
		{"421 without ID", answerFirstThen(421, nil), false, gatherer.OutcomeFailed, 0, 0},
		{"404 without ID", answerFirstThen(404, nil), false, gatherer.OutcomeFailed, 0, 0},
		{"404 without ID, idempotent", answerFirstThen(404, nil), true, gatherer.OutcomeAnswered, 0, 1},
		{"500 without ID", answerFirstThen(500, fields{"Sign": "s"}), false, gatherer.OutcomeFailed, 0, 0},
		{"500", answerFirstThen(500, fields{"Sign": "s", "Id": "{id}"}), false, gatherer.OutcomeFailed, 500, 0},
		{"200 without signature", answerFirstThen(200, fields{"Id": "{id}"}), false, gatherer.OutcomeFailed, 0, 0},
		{"503 that has run", answerFirstThen(503, fields{"Sign": "s", "Id": "{id}"}), false, gatherer.OutcomeFailed, 0, 0},
		{"429 that has run", answerFirstThen(429, fields{"Sign": "s", "Id": "{id}"}), false, gatherer.OutcomeFailed, 0, 0},
		{"408 that has run", answerFirstThen(408, fields{"Sign": "s", "Id": "{id}"}), false, gatherer.OutcomeFailed, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": c.leaf, "s/far": answerAfter(0)})
			is.Equal(f.run(t.Context(), singleServiceRoute(false)).Outcome, gatherer.OutcomeAnswered)
			r := f.run(t.Context(), singleServiceRoute(c.idempotent))
			is.Equal(r.Outcome, c.want)
			is.Equal(f.calls["s/far"].Load(), c.farCalls)
			is.Equal(f.calls["s/near"].Load(), int64(2))
			status := 0
			if r.LeafFailure != nil {
				status = r.LeafFailure.Status
			}
			is.Equal(status, c.leafFailure)
		})
	}
}
