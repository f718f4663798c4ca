// Package budgeter limits the extra calls (hedges and retries) of one service with a token bucket. Each
// first call earns a fraction of a token and each extra call costs one. While leaves or their owners
// reject a large share of the calls for lack of capacity, no extra call is allowed, so that retries do
// not add load to an overload.
package budgeter

import (
	"math"
	"sync"
	"time"

	"github.com/coder/quartz"
)

const (
	// DefaultExtraCallShare is the ratio of extra calls to first calls for a service that configures none.
	DefaultExtraCallShare = 0.05

	initialTokens        = 5.0
	maxTokens            = 100.0
	overloadThreshold    = 0.1
	overloadTimeConstant = time.Second
	minReplies           = 10.0
)

type (
	// Config holds the dependencies of a Budgeter.
	Config struct {
		Clock quartz.Clock
	}

	// Budgeter is the extra-call budget of one service. It is safe for concurrent use.
	Budgeter struct {
		clock quartz.Clock
		mutex sync.Mutex
		// tokens is between 0 and maxTokens.
		tokens float64
		// replies counts all replies and overloaded those that report overload; both decay exponentially.
		// overloaded never exceeds replies.
		replies    float64
		overloaded float64
		decayedAt  time.Time
	}
)

// New returns a Budgeter with initialTokens tokens.
func New(c Config) *Budgeter {
	return &Budgeter{clock: c.Clock, tokens: initialTokens, decayedAt: c.Clock.Now()}
}

// Earn adds the tokens for a number of first calls; share is the service's ratio of extra calls to first calls.
func (b *Budgeter) Earn(firstCalls int, share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(maxTokens, b.tokens+float64(firstCalls)*share)
}

// ObserveReply records a reply; overloaded means that it rejected the call for lack of capacity.
func (b *Budgeter) ObserveReply(overloaded bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.decay()
	b.replies++
	if overloaded {
		b.overloaded++
	}
}

// Take spends one token and returns true if an extra call may be made.
func (b *Budgeter) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 || b.blockedByOverload() {
		return false
	}
	b.tokens--
	return true
}

// Overloaded reports whether overload blocks extra calls.
func (b *Budgeter) Overloaded() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.blockedByOverload()
}

func (b *Budgeter) blockedByOverload() bool {
	b.decay()
	return b.replies >= minReplies && b.overloaded > overloadThreshold*b.replies
}

func (b *Budgeter) decay() {
	now := b.clock.Now()
	elapsed := now.Sub(b.decayedAt)
	if elapsed <= 0 {
		return
	}
	decayFactor := math.Exp(-float64(elapsed) / float64(overloadTimeConstant))
	b.replies *= decayFactor
	b.overloaded *= decayFactor
	b.decayedAt = now
}
