package gatherer

import (
	"math"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
	"github.com/magnoliastep/magnoliastep/internal/upstream/localizer"
)

const (
	// lateValue is what an answer after the target latency is worth, as a share of one in time.
	lateValue = 0.1
	// otherPartLate is the chance that another part of a gathered answer is late as well.
	otherPartLate = 0.25
	// addedBytes is about the size of the header fields that are added to a request and of those of an answer.
	addedBytes = 400
	// answerBytesWeight is the weight of a new sample in the moving average of a route's size of an answer, and
	// initialAnswerBytes is assumed before the first sample.
	answerBytesWeight  = 0.05
	initialAnswerBytes = 1 << 10
)

// callOf describes the next call of a shard for the pick of its leaf.
func (n *run) callOf(now time.Time) balancer.Call {
	elapsed := n.elapsed(now)
	message := n.request.Message
	return balancer.Call{
		TypicalLatency: n.typicalLatency,
		Call: localizer.Call{
			InTime:    localizer.Stake{Left: n.request.Target - elapsed, Loss: n.lossIfLate()},
			InAnyCase: localizer.Stake{Left: n.request.Timeout - elapsed, Loss: lateValue},
			Bytes:     len(message.Head) + len(message.Body) + addedBytes + n.answerBytes,
		},
	}
}

// lossIfLate returns the share of the request's value that is lost if one part is not there by the target. An answer is
// worth the square of its coverage. If it needs the part, or one more part is late than it can do without, it is late.
func (n *run) lossIfLate() float64 {
	shards := float64(len(n.shards))
	missable := math.Floor(shards*(1-n.request.Route.MinCoverage) + 1e-9)
	spare := min(missable, shards-1) - float64(n.lostShards()) - 1
	if spare < 0 {
		return 1 - lateValue
	}
	coverage := (shards - 1) / shards
	return 1 - coverage*coverage + (1-lateValue)*math.Pow(otherPartLate, spare+1)
}

// lostShards returns the number of shards that are done without a part.
func (n *run) lostShards() int {
	lost := 0
	for i := range n.shards {
		if n.shards[i].done && !n.shards[i].answered {
			lost++
		}
	}
	return lost
}

// answerBytesOf returns the usual size of a leaf's answer to a route's requests.
func (g *Gatherer) answerBytesOf(route string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if b, known := g.answerBytes[route]; known {
		return int(b)
	}
	return initialAnswerBytes
}

// addSizeSample adds the size of an answer to the route's moving average.
func (g *Gatherer) addSizeSample(route string, bytes int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	previous, known := g.answerBytes[route]
	if !known {
		previous = initialAnswerBytes
	}
	g.answerBytes[route] = previous + answerBytesWeight*(float64(bytes)-previous)
}
