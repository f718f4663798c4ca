// Package monitor keeps when nodes last asked the platform's store and when their calls last failed, from this node's
// own calls and from what other nodes report. A node that has not heard of the store for some time can't tell by that
// whether the store was unavailable or only nobody read it on the node's behalf; a failed call can. Nor can it tell
// whether the nodes that read on its behalf are lost; that one of them asks the store now can.
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

	// Monitor keeps these times by kind of documents. It is safe for concurrent use.
	Monitor struct {
		config Config
		mutex  sync.Mutex
		// failedAt has when a call last failed, at the earliest. It never goes back.
		failedAt map[string]time.Time
		// othersAskedAt has when, by reports of other nodes, a node was last asking, at the earliest. It never goes back.
		// Reports of this node's own calls may come back by way of others.
		othersAskedAt map[string]time.Time
		// reading has the kinds that this node reads.
		reading map[string]bool
	}
)

// New returns a Monitor that knows of no call.
func New(c Config) *Monitor {
	return &Monitor{
		config: c, failedAt: map[string]time.Time{}, othersAskedAt: map[string]time.Time{}, reading: map[string]bool{},
	}
}

// SetReading tells whether this node reads a kind from now on.
func (m *Monitor) SetReading(kind string, reading bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reading[kind] = reading
}

// IsReading reports whether this node reads a kind.
func (m *Monitor) IsReading(kind string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.reading[kind]
}

// MergeAsked records that another node was asking for a kind at a time or later.
func (m *Monitor) MergeAsked(kind string, at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if at.After(m.othersAskedAt[kind]) {
		m.othersAskedAt[kind] = at
	}
}

// OthersAskedAt returns when another node was last asking for a kind, or the zero time if none is known.
func (m *Monitor) OthersAskedAt(kind string) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.othersAskedAt[kind]
}

// AskedAt returns when any node, this one included, was last asking for a kind, or the zero time if none is known.
func (m *Monitor) AskedAt(kind string) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.reading[kind] {
		return m.config.Clock.Now()
	}
	return m.othersAskedAt[kind]
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
