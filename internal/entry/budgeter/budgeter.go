// Package budgeter bounds the extra calls, hedges and retries, of one service. First calls earn a share
// of a token, each extra call costs one. While the leaves or their owners turn much work away, no token
// is given out, so that retries never feed an overload.
package budgeter

import (
	"math"
	"sync"
	"time"

	"github.com/coder/quartz"
)

const (
	// DefaultShare of extra calls to first calls applies where a service names none.
	DefaultShare = 0.05

	initialTokens = 5.0
	burstTokens   = 100.0
	overloadShare = 0.1
	overloadDecay = time.Second
	enoughReplies = 10.0
)

type (
	// Config holds what a Budgeter needs.
	Config struct {
		Clock quartz.Clock
	}

	// Budgeter is the budget of one service. It is safe for concurrent use.
	Budgeter struct {
		clock quartz.Clock
		mutex sync.Mutex
		// tokens is between 0 and burstTokens.
		tokens float64
		// replies and overloaded count replies, older ones with less weight; overloaded is never more
		// than replies.
		replies    float64
		overloaded float64
		decayedAt  time.Time
	}
)

// New returns a Budgeter with a few tokens.
func New(c Config) *Budgeter {
	return &Budgeter{clock: c.Clock, tokens: initialTokens, decayedAt: c.Clock.Now()}
}

// Earn takes note of first calls, with the service's share of extra calls.
func (b *Budgeter) Earn(firstCalls int, share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(burstTokens, b.tokens+float64(firstCalls)*share)
}

// Observe takes note of a reply and of whether it turned the work away for want of capacity.
func (b *Budgeter) Observe(overloaded bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.decay()
	b.replies++
	if overloaded {
		b.overloaded++
	}
}

// Take returns true and costs one token when an extra call may be made.
func (b *Budgeter) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 || b.closed() {
		return false
	}
	b.tokens--
	return true
}

// Closed tells whether the budget is closed because of overload.
func (b *Budgeter) Closed() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.closed()
}

func (b *Budgeter) closed() bool {
	b.decay()
	return b.replies >= enoughReplies && b.overloaded > overloadShare*b.replies
}

func (b *Budgeter) decay() {
	now := b.clock.Now()
	elapsed := now.Sub(b.decayedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(overloadDecay))
	b.replies *= keep
	b.overloaded *= keep
	b.decayedAt = now
}
