// Package weigher weighs how much client accounts have used the leaves lately, each in proportion to what it is owed.
// Calls that wait for the same leaf are ordered by it, so that room which is short goes to the accounts that have had
// the smallest part of their own share, and not to those that send most.
//
// It answers a load in which one account sends many times its usual while the leaves have less room than is asked. Each
// node weighs by its own requests; callers choose nodes at random, so that all nodes see about the same use.
//
// It reads no clock and sends nothing.
package weigher

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which the weight of past use halves: long enough to see several requests of a small
	// account, and short enough that an account which has calmed down is soon treated like the others.
	halfLife = 2 * time.Second
	// forgottenAfter is the time without use after which an account is forgotten: its use is below a thousandth then.
	forgottenAfter = 10 * halfLife
	// sweepPeriod is the time between two sweeps over all accounts for those to forget.
	sweepPeriod = 10 * time.Second
)

type (
	// Weigher holds the recent use of each account. It is safe for concurrent use.
	Weigher struct {
		mutex    sync.Mutex
		accounts map[string]*Account
		// sweptAt is when accounts without recent use were last forgotten.
		sweptAt time.Time
	}

	// Account is the recent use of one account. It is safe for concurrent use.
	Account struct {
		mutex sync.Mutex
		// share is what the account is owed, above 0.
		share float64
		// amount is the decayed time that leaves have worked for the account, in seconds, at least 0.
		amount float64
		at     time.Time
	}
)

// New returns a Weigher without use.
func New() *Weigher {
	return &Weigher{accounts: map[string]*Account{}}
}

// Account returns the named account. share is what it is owed, in any unit that is the same for all accounts; a share
// that is not above 0 counts as 1.
func (w *Weigher) Account(name string, share float64, now time.Time) *Account {
	if !(share > 0) || math.IsInf(share, 0) {
		share = 1
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sweep(now)
	a := w.accounts[name]
	if a == nil {
		a = &Account{at: now}
		w.accounts[name] = a
	}
	a.setShare(share)
	return a
}

// Accounts returns the number of accounts with recent use.
func (w *Weigher) Accounts() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.accounts)
}

// Use returns the recent use of the account in proportion to its share, at least 0.
func (a *Account) Use(now time.Time) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.amountAt(now) / a.share
}

// Charge adds the time that a leaf works for the account.
func (a *Account) Charge(work time.Duration, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.amount = a.amountAt(now) + max(0, work.Seconds())
	if now.After(a.at) {
		a.at = now
	}
}

// sweep forgets the accounts without recent use from time to time.
func (w *Weigher) sweep(now time.Time) {
	if now.Sub(w.sweptAt) < sweepPeriod {
		return
	}
	w.sweptAt = now
	for name, a := range w.accounts {
		if a.idleFor(now) > forgottenAfter {
			delete(w.accounts, name)
		}
	}
}

func (a *Account) setShare(share float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.share = share
}

func (a *Account) idleFor(now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return now.Sub(a.at)
}

// amountAt returns what remains of the amount at a time; the mutex must be held.
func (a *Account) amountAt(now time.Time) float64 {
	if !now.After(a.at) {
		return a.amount
	}
	return a.amount * math.Exp2(-float64(now.Sub(a.at))/float64(halfLife))
}
