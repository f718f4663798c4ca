// Package labeler decides under which name the requests of a client account are counted in metrics: the largest
// accounts under their own, all others together. It bounds the number of metrics whatever the number of accounts is.
//
// It answers a load in which few of many accounts send most requests, and other ones from time to time. An account
// keeps its own name until another has become much larger, so that its counters seldom start anew.
package labeler

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Others is the name of all accounts that have none of their own.
const Others = "(others)"

const (
	// maxNamed is the number of accounts with a name of their own.
	maxNamed = 20
	// rankPeriod is the time between two comparisons of the accounts. What was counted before counts half.
	rankPeriod = 10 * time.Second
	// takeOverFactor is by how much an account must be larger to take the place of a named one.
	takeOverFactor = 2
	// forgottenBelow is the number of recent requests below which an account without a name is forgotten.
	forgottenBelow = 0.5
)

type (
	// Config holds what a Labeler needs.
	Config struct {
		// OnDrop is called with the name of an account that is counted among the others from now on. It must not call the
		// Labeler.
		OnDrop func(account string)
	}

	// Labeler names accounts. It is safe for concurrent use.
	Labeler struct {
		config Config
		mutex  sync.Mutex
		// recent has the number of requests of each account, the older ones with less weight.
		recent map[string]float64
		// named has the accounts with a name of their own, at most maxNamed. Each of them is in recent.
		named    map[string]bool
		rankedAt time.Time
	}
)

// New returns a Labeler that knows no accounts.
func New(c Config) *Labeler {
	return &Labeler{config: c, recent: map[string]float64{}, named: map[string]bool{}}
}

// Label counts a request of an account and returns the name under which to count it.
func (l *Labeler) Label(account string, now time.Time) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.rankedAt) >= rankPeriod {
		l.rankLocked()
		l.rankedAt = now
	}
	l.recent[account]++
	if len(l.named) < maxNamed {
		l.named[account] = true
	}
	if l.named[account] {
		return account
	}
	return Others
}

// Drop forgets the accounts that do not exist any more.
func (l *Labeler) Drop(exists func(account string) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for account := range l.recent {
		if !exists(account) {
			l.dropLocked(account)
			delete(l.recent, account)
		}
	}
}

// rankLocked gives the names of small accounts to others that have become larger.
func (l *Labeler) rankLocked() {
	var named, unnamed []string
	for account := range l.recent {
		l.recent[account] /= 2
		switch {
		case l.named[account]:
			named = append(named, account)
		case l.recent[account] < forgottenBelow:
			delete(l.recent, account)
		default:
			unnamed = append(unnamed, account)
		}
	}
	slices.SortFunc(named, func(a, b string) int { return cmp.Compare(l.recent[a], l.recent[b]) })
	slices.SortFunc(unnamed, func(a, b string) int { return cmp.Compare(l.recent[b], l.recent[a]) })
	for i := range min(len(named), len(unnamed)) {
		if l.recent[unnamed[i]] <= takeOverFactor*l.recent[named[i]] {
			return
		}
		l.dropLocked(named[i])
		l.named[unnamed[i]] = true
	}
}

func (l *Labeler) dropLocked(account string) {
	if l.named[account] {
		delete(l.named, account)
		l.config.OnDrop(account)
	}
}
