// Package activator puts the newest configuration in force. It does so in a goroutine of its own, so that decoding a
// large configuration delays neither its way to other nodes nor the answers to their pulls. Versions of a document
// that a newer one has surpassed before their turn are skipped.
package activator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

type (
	// Config holds what an Activator needs.
	Config struct {
		// Activate puts a document in force. confirmedBefore is when the version in force was last confirmed.
		Activate func(d replicator.Document, confirmedBefore time.Time)
		Clock    quartz.Clock
	}

	// Activator activates one document after the other. It is safe for concurrent use.
	Activator struct {
		config Config
		// wakeUps holds an item while a document may wait.
		wakeUps chan struct{}
		mutex   sync.Mutex
		// waiting has the newest version of each document that has been added and whose turn has not come, oldest first.
		waiting []*item
		// active is the document that is being activated; nil if there is none.
		active *item
	}

	// item is a document that is not in force yet.
	item struct {
		document        replicator.Document
		confirmedBefore time.Time
		// since is when the version in force was first known to be surpassed.
		since time.Time
	}
)

// New returns an Activator without documents.
func New(c Config) *Activator {
	return &Activator{config: c, wakeUps: make(chan struct{}, 1)}
}

// Add makes Run activate a document instead of any older version of it that waits.
func (a *Activator) Add(d replicator.Document, confirmedBefore time.Time) {
	a.mutex.Lock()
	i := slices.IndexFunc(a.waiting, func(i *item) bool { return i.document.Name == d.Name })
	if i >= 0 {
		a.waiting[i].document = d
	} else {
		a.waiting = append(a.waiting, &item{d, confirmedBefore, a.config.Clock.Now()})
	}
	a.mutex.Unlock()
	select {
	case a.wakeUps <- struct{}{}:
	default:
	}
}

// Run activates documents until the context ends.
func (a *Activator) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wakeUps:
		}
		for i := a.start(); i != nil; i = a.start() {
			a.config.Activate(i.document, i.confirmedBefore)
		}
	}
}

// start ends the activation of the last document and returns the one that waits; nil if there is none.
func (a *Activator) start() *item {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.active = nil
	if len(a.waiting) > 0 {
		a.active = a.waiting[0]
		a.waiting = slices.Delete(a.waiting, 0, 1)
	}
	return a.active
}

// PendingSince returns when the oldest document was added that is neither in force nor surpassed by one that is.
// pending is false if there is none.
func (a *Activator) PendingSince() (since time.Time, pending bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case a.active != nil:
		return a.active.since, true
	case len(a.waiting) > 0:
		return a.waiting[0].since, true
	}
	return time.Time{}, false
}
