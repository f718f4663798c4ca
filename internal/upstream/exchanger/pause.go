package exchanger

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds how long a leaf that asks for a pause is left alone, so that an absurd value does not take it out of
// service for good.
const maxPause = time.Minute

// PausedUntil returns until when the leaf has asked to get no requests; the zero time or a time in the past if it has
// not. Until then requests that have not been sent end with ErrNotCallable.
func (e *Exchanger) PausedUntil() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.pausedUntil
}

// pause leaves the leaf alone for a time, unless it has asked for a longer one before.
func (e *Exchanger) pause(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if until := time.Now().Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
		e.refuseWaitersLocked()
	}
}

// requestedPause returns the pause that the leaf asks for in a rejection, at most maxPause; 0 if it asks for none. A
// value that is no number of seconds above 0 asks for none.
func requestedPause(r *Reply) time.Duration {
	if r.Status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
