// Package splitter splits this node's calls to a service between the leaves of the new software version of a roll-out
// and those of other versions. Each node applies the same share to its own calls, so that all nodes together keep it
// without asking each other.
//
// It answers this load: 2 to 200 calls per second over up to hundreds of nodes, of which a version that hasn't proved
// itself may get a few in a hundred. Every node starts at a random point of its first interval, so that nodes with few
// calls send their part, too.
package splitter

import "sync"

// maxCredit bounds the calls that may follow each other when the new version got none for a while.
const maxCredit = 2

type (
	// Config holds what a Splitter needs.
	Config struct {
		// TargetVersion is the new version.
		TargetVersion string
		// Credit is the number of calls that may go to the new version before the share counts; it may be a
		// fraction.
		Credit float64
	}

	// Splitter splits the calls to one service. It is safe for concurrent use.
	Splitter struct {
		config Config
		mutex  sync.Mutex
		share  float64
		// sealed is set when no call may go to other versions.
		sealed bool
		// stopped is set for good when no call may go to the new version.
		stopped bool
		// credit is the number of calls that may go to the new version now.
		credit float64
		// departed has the processes that are not called any more after the roll-out has been completed.
		departed map[string]int64
	}
)

// New returns a Splitter that sends nothing to the new version.
func New(c Config) *Splitter {
	return &Splitter{config: c, credit: c.Credit, departed: map[string]int64{}}
}

// IsTarget reports whether a version is the new one.
func (s *Splitter) IsTarget(version string) bool { return version == s.config.TargetVersion }

// SetShare sets the share of calls for the new version and whether none may go to other versions.
func (s *Splitter) SetShare(share float64, sealed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.share, s.sealed = share, sealed
}

// Share returns the share of calls for the new version and whether none may go to other versions.
func (s *Splitter) Share() (float64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return 0, false
	}
	return s.share, s.sealed
}

// Stop lets no call go to the new version from now on.
func (s *Splitter) Stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped, s.sealed, s.share = true, false, 0
}

// Stopped reports whether Stop was called.
func (s *Splitter) Stopped() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped
}

// Depart lets no call go to the process with an incarnation of a leaf from now on.
func (s *Splitter) Depart(leafID string, incarnation int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departed[leafID] = incarnation
}

// Excludes reports whether a leaf may not be called at all.
func (s *Splitter) Excludes(leafID string, incarnation int64, version string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return s.IsTarget(version)
	}
	departed, found := s.departed[leafID]
	return found && departed == incarnation
}

// Next takes the turn of one call and reports whether it goes to the new version.
func (s *Splitter) Next() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.share <= 0 {
		return false
	}
	if s.sealed {
		return true
	}
	s.credit = min(s.credit+s.share, max(maxCredit, s.config.Credit))
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// Refund gives back the turn of a call for which the new version had no leaf.
func (s *Splitter) Refund() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.credit++
}
