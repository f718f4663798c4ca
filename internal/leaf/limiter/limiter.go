// Package limiter bounds the number of concurrent calls to one leaf and adapts the bound to the outcomes of
// the calls. The limit starts at the leaf's cold slots, increases only on successes and never exceeds the
// declared slots or connections. It decreases when the leaf sheds a call, times out or becomes slower than
// its own baseline, and it returns to the cold slots when the leaf shows signs of a restart.
//
// A leaf that is still cold fails each call above its cold slots and stays cold. The limiter therefore
// requires a number of successes before it allows one call more than the cold slots, and doubles that number
// each time such an attempt fails.
package limiter

import (
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/view/divider"
)

const (
	// OutcomeSuccess is a call that the leaf answered successfully.
	OutcomeSuccess Outcome = iota
	// OutcomeShed is a call that the leaf rejected without running it.
	OutcomeShed
	// OutcomeTimeout is a call that was not answered before its deadline.
	OutcomeTimeout
	// OutcomeFailure is a call that the leaf answered with an error.
	OutcomeFailure
	// OutcomeUnreachable is a refused or broken connection.
	OutcomeUnreachable
	// OutcomeCancelled is a call that was cancelled. It says nothing about the leaf and does not change the limit.
	OutcomeCancelled
)

const (
	decreaseFactor         = 0.7
	minGradient            = 0.5
	latencyTolerance       = 2.0 // largest multiple of the baseline that does not lower the limit
	latencyJumpFactor      = 4.0 // multiple of the baseline that indicates a restart
	latencyJumpSamples     = 8   // successive successes at or above latencyJumpFactor
	timeoutsUntilCold      = 3   // timeouts without a success in between
	failuresUntilCold      = 2   // failures within failureWindow outcomes
	failureWindow          = 8   // outcomes
	stableSuccesses        = 32  // successes after which a single failure does not mean that the leaf is cold
	initialSuccessesToWarm = 8
	maxSuccessesToWarm     = 4096
	loadSamples            = 4  // last reports whose minimum is the foreign load
	unknownLoad            = -1 // foreign load of an answer that does not report one
)

type (
	// Outcome is how a call ended.
	Outcome int

	// Bounds are the limits that the configuration declares for a leaf.
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

	// Result is the outcome of one call and what the leaf reported with it.
	Result struct {
		Outcome Outcome
		// Latency is the time that the call spent at the leaf; it is used for successes only.
		Latency time.Duration
		// ForeignLoad is the number of calls in progress at the leaf that this limiter did not start, as
		// counted by the leaf; negative when it is not known.
		ForeignLoad int
	}

	// State is the part of a Limiter's state that is passed to the next owner of the leaf.
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
		// limit is between 1 and maxConcurrency, and at most the cold slots while cold is set.
		limit float64
		cold  bool
		// inFlight does not exceed maxConcurrency when a slot is acquired.
		inFlight int
		// formerOwnerCalls is the number of calls that the former owner still has in flight at the leaf.
		formerOwnerCalls int
		// share is the fraction of the slots for this side of a network partition; its zero value means all slots.
		share divider.Share
		// foreignLoads are the last foreign loads that the leaf reported, oldest first.
		foreignLoads []int
		// successesToWarm is the number of successes required to leave the cold slots. It doubles each time that
		// the leaf becomes cold again before stableSuccesses.
		successesToWarm int
		// successes is the number of successes since the last change between cold and warm.
		successes int
		// outcomesSinceDecrease counts outcomes, so that one burst of bad outcomes lowers the limit only once.
		outcomesSinceDecrease int
		// timeouts is the number of timeouts since the last success or change to cold.
		timeouts int
		// failureBits has one bit for each of the last outcomes, the newest in the lowest bit; 1 is a failure.
		failureBits uint8
		latency     latencyWindow
	}
)

// New returns a Limiter for a cold leaf.
func New(c Config) *Limiter {
	l := &Limiter{asserter: c.Asserter, cold: true, successesToWarm: initialSuccessesToWarm}
	l.bounds = normalize(c.Bounds)
	l.limit = float64(l.coldSlots())
	return l
}

// TryAcquire takes one slot if the limit allows it. Each successful call must be followed by one Release.
func (l *Limiter) TryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlight >= l.allowedCallsLocked() {
		return false
	}
	l.inFlight++
	total := l.inFlight + l.formerOwnerCalls
	l.asserter.Check(total <= l.bounds.Slots, "leaf_in_flight_within_slots", "in_flight", total, "slots", l.bounds.Slots)
	l.asserter.Check(total <= l.bounds.Connections, "leaf_in_flight_within_connections",
		"in_flight", total, "connections", l.bounds.Connections)
	l.asserter.Check(!l.cold || total <= l.coldSlots(), "cold_leaf_within_cold_slots",
		"in_flight", total, "cold_slots", l.coldSlots())
	return true
}

// Release returns the slot and adjusts the limit to the result.
func (l *Limiter) Release(r Result) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.limit
	l.recordForeignLoadLocked(r)
	l.recordOutcomeLocked(r)
	l.inFlight--
	l.asserter.Check(l.inFlight >= 0, "leaf_in_flight_not_negative", "in_flight", l.inFlight)
	l.asserter.Check(r.Outcome == OutcomeSuccess || l.limit <= before, "limit_grows_on_success_only",
		"outcome", r.Outcome, "before", before, "after", l.limit)
}

// ResetToCold limits the leaf to its cold slots again. It never raises the limit.
func (l *Limiter) ResetToCold() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.successesToWarm = initialSuccessesToWarm
	l.enterColdLocked()
}

// Resize replaces the declared bounds. It lowers the limit to smaller bounds at once; only successes raise the
// limit to larger ones.
func (l *Limiter) Resize(b Bounds) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bounds = normalize(b)
	l.limit = min(l.limit, float64(l.maxConcurrency()))
	if l.cold {
		l.limit = min(l.limit, float64(l.coldSlots()))
	}
}

// State returns the state for the next owner of the leaf.
func (l *Limiter) State() State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return State{Limit: l.limit, Baseline: l.latency.baseline, Cold: l.cold}
}

// RestoreState restores the state of the former owner, which no longer starts calls.
func (l *Limiter) RestoreState(s State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cold = s.Cold
	l.limit = min(max(1, s.Limit), float64(l.maxConcurrency()))
	if l.cold {
		l.limit = min(l.limit, float64(l.coldSlots()))
	}
	l.latency = latencyWindow{baseline: s.Baseline, medianCount: initialBaselineMedians}
	l.successes = 0
}

// SetFormerOwnerCalls sets the number of calls that the former owner still has at the leaf; they count as in flight.
func (l *Limiter) SetFormerOwnerCalls(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.formerOwnerCalls = max(0, count)
}

// SetShare sets the fraction of the leaf's slots that this side of a network partition may use.
func (l *Limiter) SetShare(s divider.Share) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.share = s
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limit
}

// InFlight returns the number of calls in progress.
func (l *Limiter) InFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.inFlight
}

// Cold reports whether the leaf is limited to its cold slots.
func (l *Limiter) Cold() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cold
}

// Latency returns the median latency of the last successes, or the baseline when there are none.
func (l *Limiter) Latency() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.latency.medianOrBaseline()
}

// allowedCallsLocked returns how many calls of this limiter may be in flight now. Calls that the former owner
// reported are subtracted in full. The load that the leaf reports can be wrong, so it lowers the number no
// further than to the cold slots.
func (l *Limiter) allowedCallsLocked() int {
	allowed := min(int(l.limit), l.share.Slots(l.maxConcurrency()))
	if l.cold {
		allowed = min(allowed, l.share.Slots(l.coldSlots()))
	}
	if foreign := l.minForeignLoad(); foreign > l.formerOwnerCalls {
		lowered := max(l.coldSlots(), l.maxConcurrency()-foreign)
		allowed = min(allowed, lowered)
	}
	return allowed - l.formerOwnerCalls
}

// minForeignLoad returns the minimum of the last reports, because calls that start or end while a report is on
// its way can make a single report too high.
func (l *Limiter) minForeignLoad() int {
	if len(l.foreignLoads) < loadSamples {
		return 0
	}
	smallest := l.foreignLoads[0]
	for _, load := range l.foreignLoads[1:] {
		smallest = min(smallest, load)
	}
	return smallest
}

func (l *Limiter) recordForeignLoadLocked(r Result) {
	if r.ForeignLoad <= unknownLoad {
		return
	}
	l.foreignLoads = append(l.foreignLoads, r.ForeignLoad)
	if len(l.foreignLoads) > loadSamples {
		l.foreignLoads = l.foreignLoads[1:]
	}
}

func (l *Limiter) recordOutcomeLocked(r Result) {
	if r.Outcome == OutcomeCancelled {
		return
	}
	l.outcomesSinceDecrease++
	l.failureBits <<= 1
	switch r.Outcome {
	case OutcomeSuccess:
		l.handleSuccessLocked(r.Latency)
	case OutcomeShed:
		l.decreaseLocked(decreaseFactor)
	case OutcomeTimeout:
		l.timeouts++
		l.decreaseLocked(decreaseFactor)
		if l.timeouts >= timeoutsUntilCold {
			l.enterColdLocked()
		}
	case OutcomeFailure:
		l.handleFailureLocked()
	case OutcomeUnreachable:
		l.enterColdLocked()
	case OutcomeCancelled:
	}
}

func (l *Limiter) handleSuccessLocked(latency time.Duration) {
	l.timeouts = 0
	l.successes++
	l.latency.add(latency)
	if l.latency.jumped() {
		l.latency.reset()
		l.enterColdLocked()
		return
	}
	if l.cold {
		l.growWhileColdLocked()
		return
	}
	if l.successes == stableSuccesses {
		l.successesToWarm = initialSuccessesToWarm
	}
	if gradient := l.latency.gradient(); gradient < 1 {
		l.decreaseLocked(gradient)
		return
	}
	if 2*l.inFlight >= int(l.limit) { // a success well below the limit does not show that the leaf can take more
		l.limit = min(float64(l.maxConcurrency()), l.limit+1/l.limit)
	}
}

// growWhileColdLocked raises the limit up to the cold slots. After enough successes there it marks the leaf
// as warm and allows one call more.
func (l *Limiter) growWhileColdLocked() {
	cold := float64(l.coldSlots())
	l.limit = min(cold, l.limit+1/l.limit)
	if l.successes < l.successesToWarm || l.limit < cold {
		return
	}
	l.cold = false
	l.successes = 0
	l.failureBits = 0
	l.limit = min(float64(l.maxConcurrency()), cold+1)
}

func (l *Limiter) handleFailureLocked() {
	l.failureBits |= 1
	count := 0
	for i := range failureWindow {
		count += int(l.failureBits>>i) & 1
	}
	if l.cold || l.successes < stableSuccesses || count >= failuresUntilCold {
		l.enterColdLocked()
		return
	}
	l.decreaseLocked(decreaseFactor)
}

// decreaseLocked lowers the limit at most once in as many outcomes as the limit has calls.
func (l *Limiter) decreaseLocked(factor float64) {
	if l.outcomesSinceDecrease < int(l.limit) {
		return
	}
	l.outcomesSinceDecrease = 0
	l.limit = max(1, l.limit*factor)
}

func (l *Limiter) enterColdLocked() {
	if !l.cold && l.successes < stableSuccesses {
		l.successesToWarm = min(maxSuccessesToWarm, 2*l.successesToWarm)
	}
	l.cold = true
	l.successes = 0
	l.timeouts = 0
	l.limit = min(l.limit, float64(l.coldSlots()))
}

func (l *Limiter) maxConcurrency() int {
	return min(l.bounds.Slots, l.bounds.Connections)
}

func (l *Limiter) coldSlots() int {
	return min(l.bounds.ColdSlots, l.maxConcurrency())
}

func normalize(b Bounds) Bounds {
	b.Slots = max(1, b.Slots)
	b.ColdSlots = min(max(1, b.ColdSlots), b.Slots)
	if b.Connections < 1 {
		b.Connections = b.Slots
	}
	return b
}
