package exchanger

import "time"

// maxInFlight returns how many requests may be in flight now, at least 1.
func (e *Exchanger) maxInFlight() int {
	if e.excesses > 0 {
		return 1
	}
	return max(1, min(int(e.concurrencyLimit), e.fixedLimit()))
}

// fixedLimit returns how many requests may be in flight whatever the latencies are.
func (e *Exchanger) fixedLimit() int {
	return int(min(e.connectionLimit.Load(), e.share.Load()))
}

// AdjustConcurrency adjusts the concurrency limit after an answer to a request sent at startedAt. late says that the
// answer came so late that the leaf has more requests than it can answer in time. A late answer decreases the limit by
// a factor, any other raises it by a small step.
func (e *Exchanger) AdjustConcurrency(startedAt, now time.Time, late bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	limit := float64(e.fixedLimit())
	switch {
	case !late:
		e.concurrencyLimit = min(limit, e.concurrencyLimit+concurrencyIncrease)
		e.serveWaitersLocked()
	case startedAt.After(e.decreasedAt):
		// A request that began before the last decrease says nothing about its effect.
		e.concurrencyLimit = max(1, min(limit, e.concurrencyLimit)*concurrencyDecreaseFactor)
		e.decreasedAt = now
	}
}

// Queue returns how many requests must end before a further one is sent, 0 if none, and how many may be in flight, at
// least 1.
func (e *Exchanger) Queue() (ahead, inFlight int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	inFlight = e.maxInFlight()
	return max(0, e.busy+e.waiters.Len()+1-inFlight), inFlight
}
