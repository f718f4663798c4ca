package gatherer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/merger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
)

// largeBodyBytes is above the size for which no memory is reserved.
const largeBodyBytes = 40 << 10

// answerLarge returns a handler that answers with a large body of records after a delay.
func answerLarge(status int, d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Sign", r.Header.Get("Leaf"))
		w.WriteHeader(status)
		_, _ = w.Write(largeBody(r.Header.Get("Leaf")))
	}
}

// largeBody returns the body of a leaf's large answer.
func largeBody(leaf string) []byte {
	body := make([]byte, largeBodyBytes)
	for i := range largeBodyBytes / merger.RecordBytes {
		binary.BigEndian.PutUint64(body[i*merger.RecordBytes:], uint64(i*7919%1009))
		copy(body[i*merger.RecordBytes+8:(i+1)*merger.RecordBytes], leaf)
	}
	return body
}

// answerTooLong returns a handler that states a length above that of all answers.
func answerTooLong(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Sign", r.Header.Get("Leaf"))
	w.Header().Set("Content-Length", "99999999999")
	_, _ = w.Write([]byte("x"))
}

// Guards against gathered requests whose parts take memory while they wait for other parts.
func TestPartsThatWaitHoldNoMemory(t *testing.T) {
	is := is.New(t)
	leaves := map[string]http.HandlerFunc{"s3/near": answerAfter(time.Hour), "s3/far": answerAfter(time.Hour)}
	for _, shard := range []string{"s0", "s1", "s2"} {
		leaves[shard+"/near"], leaves[shard+"/far"] = answerLarge(200, 0), answerLarge(200, 0)
	}
	leaves["s0/near"] = answerLarge(200, target*3/4) // comes after the answer of the other leaf, before the end
	f := newFixture(t, leaves)
	route := matcher.Route{
		Idempotent: true, Attempts: 2, Shards: []string{"s0", "s1", "s2", "s3"}, MinCoverage: 0.75, TopRecords: 100,
	}
	results := make(chan gatherer.Result)
	go func() { results <- f.run(t.Context(), route) }()
	time.Sleep(target / 2) // three parts have arrived
	is.Equal(f.memory.Reserved(), int64(0))
	r := <-results
	is.Equal(len(r.Parts), 3)
	whole, reduced := merger.New(100), merger.New(100)
	for _, p := range r.Parts {
		whole.Add(largeBody(p.Signature))
		is.Equal(len(p.Body), 100*merger.RecordBytes)
		reduced.Add(p.Body)
	}
	is.True(bytes.Equal(whole.Body(), reduced.Body()))
	r.Release()
	is.Equal(f.calls["s0/near"].Load(), int64(1))
	is.Equal(f.memory.Reserved(), int64(0))
}

// Guards against memory that stays reserved for answers that reach no caller: late ones, failures and rejections.
func TestMemoryOfAllAnswersOfRequestIsReleased(t *testing.T) {
	rejectLarge := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Not-Run", "1")
		answerLarge(http.StatusServiceUnavailable, 0)(w, r)
	}
	for _, c := range []struct {
		name      string
		near, far http.HandlerFunc
		held      int64
	}{
		{"answer", answerLarge(200, 0), answerLarge(200, 0), largeBodyBytes},
		{"late answer", answerLarge(200, target-20*ms), answerAfter(0), 0},
		{"late answer after the end", answerLarge(200, target+100*ms), answerAfter(0), 0},
		{"failure before an answer", answerLarge(500, 0), answerAfter(0), 0},
		{"failures", answerLarge(500, 0), answerLarge(500, 0), largeBodyBytes},
		{"rejection", rejectLarge, answerAfter(0), 0},
		{"rejections", rejectLarge, rejectLarge, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, map[string]http.HandlerFunc{"s/near": c.near, "s/far": c.far})
			r := f.run(t.Context(), singleServiceRoute(true))
			if c.held > 0 {
				is.True(f.memory.Reserved() >= c.held) // the answer is not yet written
			}
			r.Release()
			time.Sleep(target + 150*ms)
			is.Equal(f.memory.Reserved(), int64(0))
		})
	}
	t.Run("caller gone", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, map[string]http.HandlerFunc{"s/near": answerLarge(200, 50*ms)})
		ctx, cancel := context.WithTimeout(t.Context(), 20*ms)
		defer cancel()
		r := f.run(ctx, singleServiceRoute(true))
		is.Equal(r.Outcome, gatherer.OutcomeCallerGone)
		r.Release()
		time.Sleep(100 * ms)
		is.Equal(f.memory.Reserved(), int64(0))
	})
}

// Guards against a shard whose leaves all send without end and are read again by every request.
func TestShardWhoseAnswersAreTooLongIsLeftOut(t *testing.T) {
	is := is.New(t)
	f, route := newShardedFixture(t, map[string]http.HandlerFunc{"s3/near": answerTooLong, "s3/far": answerTooLong})
	requests := 0
	for until := time.Now().Add(time.Second); time.Now().Before(until); requests++ {
		r := f.run(t.Context(), route)
		is.Equal(r.Outcome, gatherer.OutcomeAnswered)
		is.Equal(len(r.Parts), 9)
	}
	is.True(requests > 50)
	is.True(f.calls["s3/near"].Load()+f.calls["s3/far"].Load() <= 16)
	r := f.run(t.Context(), route)
	is.Equal(r.ServicesWithoutLeaf, []string{"s3"})
	is.Equal(f.pool.LeftAlone(time.Now()), 2)
}

// Guards against one request, sent again and again, whose answers are too long and that takes all leaves of its service
// from other callers.
func TestRequestWithAnswersThatAreTooLongLeavesServiceToOthers(t *testing.T) {
	const poisonous = "GET /poisonous HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
	is := is.New(t)
	handler := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/poisonous") {
			answerTooLong(w, r)
			return
		}
		answerAfter(2*ms)(w, r)
	}
	f := newFixture(t, map[string]http.HandlerFunc{"s/near": handler, "s/far": handler, "s/third": handler})
	stop := make(chan struct{})
	var poison sync.WaitGroup
	poison.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * ms):
			}
			route := singleServiceRoute(true)
			route.Name, route.TargetLatency, route.Timeout = "route", target, timeout
			f.gatherer.Run(t.Context(), gatherer.Request{
				Route: &route, Services: []string{"s"}, ArrivedAt: time.Now(), Target: target, Timeout: timeout,
				Message: exchanger.Request{
					Method: http.MethodGet, ID: "r1", Deadline: time.Now().Add(time.Second), Head: []byte(poisonous),
				},
			})
		}
	})
	sent, answered := 0, 0
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * ms) {
		sent++
		r := f.run(t.Context(), singleServiceRoute(true))
		if r.Outcome == gatherer.OutcomeAnswered {
			answered++
		}
	}
	close(stop)
	poison.Wait()
	t.Logf("%d of %d answered", answered, sent)
	is.True(sent > 100)
	is.True(answered >= sent*9/10)
}
