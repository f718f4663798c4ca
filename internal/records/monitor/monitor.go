// Package monitor keeps when calls to the platform's store last failed, from this node's own calls and from what other
// nodes report. A node that has not heard of the store for some time can't tell by that whether the store was
// unavailable or only nobody read it on the node's behalf; a failed call can.
package monitor

import (
	"sync"
	"time"

	"github.com/coder/quartz"
)

type (
	// Config holds what a Monitor needs.
	Config struct {
		Clock quartz.Clock
	}

	// Monitor keeps the last failures. It is safe for concurrent use.
	Monitor struct {
		config Config
		mutex  sync.Mutex
		// failedAt has, by kind of documents, when a call last failed at the earliest. It never goes back.
		failedAt map[string]time.Time
	}
)

// New returns a Monitor that knows of no failure.
func New(c Config) *Monitor {
	return &Monitor{config: c, failedAt: map[string]time.Time{}}
}

// RecordFailure records that a call of this node for a kind of documents has failed just now.
func (m *Monitor) RecordFailure(kind string) {
	m.MergeFailure(kind, m.config.Clock.Now())
}

// MergeFailure records that a call of any node for a kind of documents failed at a time or later.
func (m *Monitor) MergeFailure(kind string, at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if at.After(m.failedAt[kind]) {
		m.failedAt[kind] = at
	}
}

// FailedAt returns when a call for a kind of documents last failed, or the zero time if no failure is known.
func (m *Monitor) FailedAt(kind string) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.failedAt[kind]
}

// LastFailure returns when a call for any kind of documents last failed, or the zero time if no failure is known.
func (m *Monitor) LastFailure() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := time.Time{}
	for _, at := range m.failedAt {
		if at.After(last) {
			last = at
		}
	}
	return last
}
