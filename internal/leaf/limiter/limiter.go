// Package limiter bounds the concurrent calls to one leaf. Outcomes of calls flow in, permission for the
// next call flows out. The limit starts at the leaf's cold slots, grows on successes alone and never
// exceeds the declared slots or connections. It falls when the leaf sheds, times out or grows slower than
// its own baseline, and it returns to the cold slots when the leaf shows signs of a restart.
//
// A leaf that is still cold fails a call above its cold slots and stays cold. So the limiter waits for a
// number of successes before it leaves the cold slots, tries one call more, and doubles the number each
// time that the try fails.
package limiter

import (
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
)

const (
	// OutcomeSuccess is a good answer.
	OutcomeSuccess Outcome = iota
	// OutcomeShed is a call that the leaf did not take.
	OutcomeShed
	// OutcomeTimeout is a call without an answer in time.
	OutcomeTimeout
	// OutcomeFailure is an answer that says that the leaf failed.
	OutcomeFailure
	// OutcomeRefused is a refused or broken connection.
	OutcomeRefused
	// OutcomeCancelled is a call that was given up; it says nothing about the leaf.
	OutcomeCancelled
)

const (
	decreaseFactor       = 0.7
	gradientFloor        = 0.5
	latencyTolerance     = 2.0 // multiple of the baseline that is no sign of overload
	cliffFactor          = 4.0 // multiple of the baseline that counts as a latency cliff
	cliffSamples         = 8   // successes in a row above the cliff
	timeoutsUntilCold    = 3   // timeouts without a success between them
	failuresUntilCold    = 2   // failures within failureWindow outcomes
	failureWindow        = 8   // outcomes
	provenSuccesses      = 32  // successes after which a single failure is not a sign of coldness
	firstColdSuccesses   = 8
	largestColdSuccesses = 4096
	loadSamples          = 4
	unknownLoad          = -1
)

type (
	// Outcome is how a call ended.
	Outcome int

	// Bounds are what the configuration declares of a leaf.
	Bounds struct {
		// Slots is the largest number of concurrent calls, at least 1.
		Slots int
		// Connections is the largest number of connections; zero means Slots.
		Connections int
		// ColdSlots is the limit of a leaf that has just started, 1 to Slots.
		ColdSlots int
	}

	// Config holds what a Limiter needs.
	Config struct {
		Bounds   Bounds
		Asserter *asserter.Asserter
	}

	// Result is what one call showed.
	Result struct {
		Outcome Outcome
		// Latency is the time at the leaf, used of successes only.
		Latency time.Duration
		// ForeignLoad is the calls at the leaf that this limiter did not start, as the leaf counts them;
		// negative when it is not known.
		ForeignLoad int
	}

	// State is what has been learnt of a leaf and can be handed to its next owner.
	State struct {
		Limit    float64
		Baseline time.Duration
		Cold     bool
	}

	// Limiter is the concurrency limit of one leaf. It is safe for concurrent use.
	Limiter struct {
		asserter *asserter.Asserter
		mutex    sync.Mutex
		bounds   Bounds
		// limit is between 1 and the ceiling, and at most the cold slots while cold is set.
		limit float64
		cold  bool
		// inFlight never exceeds the ceiling at the time of an acquisition.
		inFlight int
		// handedOver is the calls that the former owner still has at the leaf.
		handedOver int
		// share is this side's part of the slots while the fleet has lost nodes; its zero value means all of them.
		share divider.Share
		// loads are the last foreign loads that the leaf reported, oldest first.
		loads []int
		// coldSuccesses doubles with each failed try to leave the cold slots.
		coldSuccesses int
		// successes counts since the last change between cold and warm.
		successes int
		// sinceDecrease counts outcomes, so that one burst lowers the limit once.
		sinceDecrease int
		timeouts      int
		// failures has one bit for each of the last outcomes, the newest lowest.
		failures uint8
		latency  latencyWindow
	}
)

// New returns a Limiter for a cold leaf.
func New(c Config) *Limiter {
	l := &Limiter{asserter: c.Asserter, cold: true, coldSuccesses: firstColdSuccesses}
	l.bounds = normalize(c.Bounds)
	l.limit = float64(l.coldSlots())
	return l
}

// TryAcquire takes one slot if the limit allows it. Each success must be followed by one Release.
func (l *Limiter) TryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlight >= l.allowedLocked() {
		return false
	}
	l.inFlight++
	sum := l.inFlight + l.handedOver
	l.asserter.Check(sum <= l.bounds.Slots, "leaf_in_flight_within_slots", "in_flight", sum, "slots", l.bounds.Slots)
	l.asserter.Check(sum <= l.bounds.Connections, "leaf_in_flight_within_connections",
		"in_flight", sum, "connections", l.bounds.Connections)
	l.asserter.Check(!l.cold || sum <= l.coldSlots(), "cold_leaf_within_cold_slots",
		"in_flight", sum, "cold_slots", l.coldSlots())
	return true
}

// Release gives the slot back and learns from the result.
func (l *Limiter) Release(r Result) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.limit
	l.learnLoadLocked(r)
	l.learnLocked(r)
	l.inFlight--
	l.asserter.Check(l.inFlight >= 0, "leaf_in_flight_not_negative", "in_flight", l.inFlight)
	l.asserter.Check(r.Outcome == OutcomeSuccess || l.limit <= before, "limit_grows_on_success_only",
		"outcome", r.Outcome, "before", before, "after", l.limit)
}

// ResetToCold starts the ramp again. It never raises the limit.
func (l *Limiter) ResetToCold() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.coldSuccesses = firstColdSuccesses
	l.turnColdLocked()
}

// Resize takes declared bounds that have changed. A larger declaration is reached by successes only.
func (l *Limiter) Resize(b Bounds) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bounds = normalize(b)
	l.limit = min(l.limit, float64(l.ceiling()))
	if l.cold {
		l.limit = min(l.limit, float64(l.coldSlots()))
	}
}

// State returns what has been learnt.
func (l *Limiter) State() State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return State{Limit: l.limit, Baseline: l.latency.baseline, Cold: l.cold}
}

// Adopt takes the state of the former owner, which has stopped to start calls.
func (l *Limiter) Adopt(s State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cold = s.Cold
	l.limit = min(max(1, s.Limit), float64(l.ceiling()))
	if l.cold {
		l.limit = min(l.limit, float64(l.coldSlots()))
	}
	l.latency = latencyWindow{baseline: s.Baseline, medians: learningMedians}
	l.successes = 0
}

// SetHandedOver sets the calls that the former owner still has at the leaf; they count as in flight.
func (l *Limiter) SetHandedOver(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.handedOver = max(0, count)
}

// SetShare sets which part of the leaf's slots this side of a network partition may use.
func (l *Limiter) SetShare(s divider.Share) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.share = s
}

// Limit returns the present limit.
func (l *Limiter) Limit() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limit
}

// InFlight returns the calls in progress.
func (l *Limiter) InFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inFlight
}

// Cold tells whether the leaf is held at its cold slots.
func (l *Limiter) Cold() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cold
}

// Latency returns the median of the last successes, or the baseline when there are none.
func (l *Limiter) Latency() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.latency.typical()
}

// allowedLocked returns how many calls of this limiter may be in flight now. Calls that the former owner
// reported count in full. The load that the leaf reports may mislead, so it lowers the number to the cold
// slots at most.
func (l *Limiter) allowedLocked() int {
	allowed := min(int(l.limit), l.share.Of(l.ceiling()))
	if l.cold {
		allowed = min(allowed, l.share.Of(l.coldSlots()))
	}
	if foreign := l.foreignLoad(); foreign > l.handedOver {
		lowered := max(l.coldSlots(), l.ceiling()-foreign)
		allowed = min(allowed, lowered)
	}
	return allowed - l.handedOver
}

// foreignLoad returns the smallest of the last reports; calls that cross on their way inflate single ones.
func (l *Limiter) foreignLoad() int {
	if len(l.loads) < loadSamples {
		return 0
	}
	smallest := l.loads[0]
	for _, n := range l.loads[1:] {
		smallest = min(smallest, n)
	}
	return smallest
}

func (l *Limiter) learnLoadLocked(r Result) {
	if r.ForeignLoad <= unknownLoad {
		return
	}
	l.loads = append(l.loads, r.ForeignLoad)
	if len(l.loads) > loadSamples {
		l.loads = l.loads[1:]
	}
}

func (l *Limiter) learnLocked(r Result) {
	if r.Outcome == OutcomeCancelled {
		return
	}
	l.sinceDecrease++
	l.failures <<= 1
	switch r.Outcome {
	case OutcomeSuccess:
		l.succeedLocked(r.Latency)
	case OutcomeShed:
		l.decreaseLocked(decreaseFactor)
	case OutcomeTimeout:
		l.timeouts++
		l.decreaseLocked(decreaseFactor)
		if l.timeouts >= timeoutsUntilCold {
			l.turnColdLocked()
		}
	case OutcomeFailure:
		l.failLocked()
	case OutcomeRefused:
		l.turnColdLocked()
	case OutcomeCancelled:
	}
}

func (l *Limiter) succeedLocked(latency time.Duration) {
	l.timeouts = 0
	l.successes++
	l.latency.add(latency)
	if l.latency.cliff() {
		l.latency.restart()
		l.turnColdLocked()
		return
	}
	if l.cold {
		l.warmLocked()
		return
	}
	if l.successes == provenSuccesses {
		l.coldSuccesses = firstColdSuccesses
	}
	if gradient := l.latency.gradient(); gradient < 1 {
		l.decreaseLocked(gradient)
		return
	}
	if 2*l.inFlight >= int(l.limit) { // a limit that is not used proves nothing
		l.limit = min(float64(l.ceiling()), l.limit+1/l.limit)
	}
}

// warmLocked recovers up to the cold slots and then leaves them by one call.
func (l *Limiter) warmLocked() {
	cold := float64(l.coldSlots())
	l.limit = min(cold, l.limit+1/l.limit)
	if l.successes < l.coldSuccesses || l.limit < cold {
		return
	}
	l.cold = false
	l.successes = 0
	l.failures = 0
	l.limit = min(float64(l.ceiling()), cold+1)
}

func (l *Limiter) failLocked() {
	l.failures |= 1
	count := 0
	for i := range failureWindow {
		count += int(l.failures>>i) & 1
	}
	if l.cold || l.successes < provenSuccesses || count >= failuresUntilCold {
		l.turnColdLocked()
		return
	}
	l.decreaseLocked(decreaseFactor)
}

// decreaseLocked lowers the limit at most once for each round of calls.
func (l *Limiter) decreaseLocked(factor float64) {
	if l.sinceDecrease < int(l.limit) {
		return
	}
	l.sinceDecrease = 0
	l.limit = max(1, l.limit*factor)
}

func (l *Limiter) turnColdLocked() {
	if !l.cold && l.successes < provenSuccesses {
		l.coldSuccesses = min(largestColdSuccesses, 2*l.coldSuccesses)
	}
	l.cold = true
	l.successes = 0
	l.timeouts = 0
	l.limit = min(l.limit, float64(l.coldSlots()))
}

func (l *Limiter) ceiling() int {
	return min(l.bounds.Slots, l.bounds.Connections)
}

func (l *Limiter) coldSlots() int {
	return min(l.bounds.ColdSlots, l.ceiling())
}

func normalize(b Bounds) Bounds {
	b.Slots = max(1, b.Slots)
	b.ColdSlots = min(max(1, b.ColdSlots), b.Slots)
	if b.Connections < 1 {
		b.Connections = b.Slots
	}
	return b
}
