package balancer

import (
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/exchanger"
	"github.com/magnoliastep/magnoliastep/internal/upstream/scorer"
)

// misdirectedSuspension is how long a leaf is not picked after another process answered at its address.
const misdirectedSuspension = 2 * time.Second

// Leaf is one leaf with this node's latency estimate of it and connections to it.
type Leaf struct {
	entry     Entry
	scorer    *scorer.Scorer
	exchanger *exchanger.Exchanger
	mutex     sync.Mutex
	// coldUntil is when the leaf has warmed up.
	coldUntil time.Time
	// suspendedUntil is when the leaf may be picked again after another process answered at its address.
	suspendedUntil time.Time
	// coldTokens is the level of the token bucket that limits this node's calls to the cold leaf, at most 1.
	coldTokens float64
	// coldTokensUpdatedAt is when coldTokens was last refilled.
	coldTokensUpdatedAt time.Time
}

// Entry returns the description that the leaf published.
func (l *Leaf) Entry() Entry { return l.entry }

// Scorer returns the latency estimate of the leaf.
func (l *Leaf) Scorer() *scorer.Scorer { return l.scorer }

// Exchanger returns the leaf's connections.
func (l *Leaf) Exchanger() *exchanger.Exchanger { return l.exchanger }

// Suspend suspends the leaf for a while because another process answered at its address.
func (l *Leaf) Suspend(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.suspendedUntil = now.Add(misdirectedSuspension)
}

func (l *Leaf) isCold(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.coldUntil)
}

// available returns whether the leaf may get a call now. A cold leaf may when its token bucket holds a token.
func (l *Leaf) available(now time.Time, warmUpRate float64, share func(string) float64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Before(l.suspendedUntil) || !l.exchanger.Callable() {
		return false
	}
	if warmUpRate <= 0 || !now.Before(l.coldUntil) {
		return true
	}
	if l.coldTokensUpdatedAt.IsZero() {
		l.coldTokensUpdatedAt = now
	}
	l.coldTokens = min(1, l.coldTokens+now.Sub(l.coldTokensUpdatedAt).Seconds()*warmUpRate*share(l.entry.ID))
	l.coldTokensUpdatedAt = now
	return l.coldTokens >= 1
}

func (l *Leaf) spendColdToken(now time.Time, warmUpRate float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if warmUpRate > 0 && now.Before(l.coldUntil) {
		l.coldTokens--
	}
}
