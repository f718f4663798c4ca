package exchanger

import "time"

const (
	// firstExcessPause is how long a leaf is a last resort after an answer that is too long or malformed. Each further
	// one in a row doubles the time, up to maxExcessPause.
	firstExcessPause = 500 * time.Millisecond
	maxExcessPause   = 10 * time.Second
	// maxExcessDoublings is enough doublings to reach maxExcessPause.
	maxExcessDoublings = 8
	// lastResortExcesses is how many answers in a row may be too long or malformed while the leaf can still be called,
	// because the request may be the reason.
	lastResortExcesses = 1
)

// Release releases the memory that is reserved for the answer, whose Body must not be used afterwards. A nil Reply and
// one that has been released have none.
func (r *Reply) Release() {
	if r != nil {
		r.memory.Release()
	}
}

// Replace replaces the body by a smaller one and releases the memory that it does not need.
func (r *Reply) Replace(body []byte) {
	r.Body = body
	if len(body) <= smallBodyBytes {
		r.memory.Release()
		return
	}
	r.memory.Shrink(int64(cap(body)))
}

// LastResort reports whether the leaf should be called only if there is no other, because its last answer was too long
// or malformed.
func (e *Exchanger) LastResort(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return now.Before(e.lastResortUntil)
}

// LeftAlone reports whether the leaf gets no requests because several of its answers in a row were too long
// or malformed.
func (e *Exchanger) LeftAlone(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.excesses > lastResortExcesses && now.Before(e.lastResortUntil)
}

// noteExcess takes account of an answer that was too long or malformed. The leaf becomes a last resort for a time, and
// is left alone after several such answers in a row. Of requests that were in flight together, one counts; startedAt is
// when the request was sent.
func (e *Exchanger) noteExcess(r Request, startedAt time.Time) {
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if startedAt.After(e.excessAt) && !r.AfterExcess {
		pause := min(maxExcessPause, firstExcessPause<<min(e.excesses, maxExcessDoublings))
		e.excesses++
		e.excessAt, e.lastResortUntil = now, now.Add(pause)
		if e.excesses > lastResortExcesses && e.lastResortUntil.After(e.pausedUntil) {
			e.pausedUntil = e.lastResortUntil
		}
		e.refuseWaitersLocked()
	}
}

// clearExcess ends the consequences of answers that were too long or malformed, after a good one. A pause holds on.
func (e *Exchanger) clearExcess() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.excesses == 0 {
		return
	}
	e.excesses, e.lastResortUntil = 0, time.Time{}
	e.serveWaitersLocked()
}
