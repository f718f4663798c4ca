package server

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// stageBody means that the body has not arrived whole, stageLeaves that leaves are called or waited for, and
	// stageAnswer that the answer is being written.
	stageBody stage = iota
	stageLeaves
	stageAnswer
)

type (
	// stage is how far a request has got.
	stage = int32

	// RequestInProgress describes a request that has not been answered.
	RequestInProgress struct {
		ID, Route string
		// Stage is what the request waits for: "body", "leaves" or "answer".
		Stage string
		// Age is the time since the head of the request was read.
		Age time.Duration
	}

	// progress has the requests that have a route and have not ended.
	progress struct {
		mutex    sync.Mutex
		requests map[*exchange]struct{}
	}
)

// String returns the form for the log.
func (r RequestInProgress) String() string {
	return r.ID + ":" + r.Route + ":" + r.Stage + ":" + r.Age.Round(time.Millisecond).String()
}

// RequestsInProgress returns the oldest requests in progress that have a route, at most limit.
func (s *Server) RequestsInProgress(limit int) []RequestInProgress {
	now := time.Now()
	s.progress.mutex.Lock()
	requests := make([]RequestInProgress, 0, len(s.progress.requests))
	for x := range s.progress.requests {
		requests = append(requests, RequestInProgress{
			ID: x.id, Route: x.routeName(), Stage: stageName(x.stage.Load()), Age: now.Sub(x.arrivedAt),
		})
	}
	s.progress.mutex.Unlock()
	slices.SortFunc(requests, func(a, b RequestInProgress) int { return cmp.Compare(b.Age, a.Age) })
	return requests[:min(limit, len(requests))]
}

func stageName(s stage) string {
	switch s {
	case stageBody:
		return "body"
	case stageLeaves:
		return "leaves"
	default:
		return "answer"
	}
}

// add adds a request, whose route does not change any more.
func (p *progress) add(x *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requests[x] = struct{}{}
}

func (p *progress) remove(x *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.requests, x)
}
