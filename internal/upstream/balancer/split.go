package balancer

import "time"

type (
	// Split divides the calls of a service between the leaves of a new software version and those of other
	// versions.
	Split interface {
		// IsTarget reports whether a version is the new one.
		IsTarget(version string) bool
		// Next takes the turn of one call and reports whether it goes to the new version.
		Next() bool
		// Refund gives back the turn of a call for which the new version had no leaf.
		Refund()
		// Share returns the share of calls for the new version and whether none may go to other versions.
		Share() (share float64, sealed bool)
		// Excludes reports whether a leaf may not be called at all.
		Excludes(leafID string, incarnation int64, version string) bool
	}

	// VersionCounts counts the leaves of a service by software version.
	VersionCounts struct {
		// Target is the number of usable leaves of the new version, and Cold how many of them are cold.
		Target, Cold int
		// Other is the number of usable leaves of other versions, OtherOpenCalls that of open calls to leaves
		// of other versions, whether usable or not.
		Other, OtherOpenCalls int
	}
)

// SetSplit sets or replaces the split of a service; nil removes it. It must also be called when the split excludes
// other leaves than before.
func (b *Balancer) SetSplit(service string, s Split) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s == nil {
		delete(b.splits, service)
	} else {
		b.splits[service] = s
	}
	b.updateUsableLocked(service)
}

// CountVersions counts the leaves of a service by whether they have the new version of a split.
func (b *Balancer) CountVersions(service string, s Split, now time.Time) VersionCounts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var c VersionCounts
	for _, l := range b.usable[service] {
		switch {
		case !s.IsTarget(l.entry.Version):
			c.Other++
		case l.isCold(now):
			c.Target, c.Cold = c.Target+1, c.Cold+1
		default:
			c.Target++
		}
	}
	for _, l := range b.leavesByService[service] {
		if !s.IsTarget(l.entry.Version) {
			c.OtherOpenCalls += l.scorer.OpenCalls()
		}
	}
	return c
}

// Entries returns the entries of all leaves of a service.
func (b *Balancer) Entries(service string) []Entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var entries []Entry
	for _, l := range b.leavesByService[service] {
		entries = append(entries, l.entry)
	}
	return entries
}

// IsCold reports whether the leaf is still cold after its start.
func (l *Leaf) IsCold(now time.Time) bool { return l.isCold(now) }

func (b *Balancer) excludedLocked(e Entry) bool {
	s := b.splits[e.Service]
	return s != nil && s.Excludes(e.ID, e.Incarnation, e.Version)
}

// pickSplit picks among the leaves of the version whose turn it is. If none of the new version can be called, one of
// another version is picked, unless no call may go to these. The reverse is only done if the service has no leaf of
// another version at all.
func (b *Balancer) pickSplit(leaves []*Leaf, limits Service, s Split, call Call,
	tried func(*Leaf) bool, now time.Time,
) (*Leaf, time.Duration) {
	target, others := divide(leaves, s)
	if len(others) == 0 && !b.hasOther(leaves, s) {
		return b.pickFrom(target, limits, call, tried, now)
	}
	if s.Next() {
		if l, expected := b.pickFrom(target, limits, call, tried, now); l != nil {
			return l, expected
		}
		s.Refund()
		if _, sealed := s.Share(); sealed && len(target) > 0 {
			return nil, 0
		}
	}
	return b.pickFrom(others, limits, call, tried, now)
}

func divide(leaves []*Leaf, s Split) (target, others []*Leaf) {
	for _, l := range leaves {
		if s.IsTarget(l.entry.Version) {
			target = append(target, l)
		} else {
			others = append(others, l)
		}
	}
	return target, others
}

// hasOther reports whether the service of the leaves has a leaf of another version that isn't leaving, usable or not.
func (b *Balancer) hasOther(leaves []*Leaf, s Split) bool {
	if len(leaves) == 0 {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.leavesByService[leaves[0].entry.Service] {
		leaving := l.entry.Draining || l.exchanger.Leaving()
		if !leaving && !s.IsTarget(l.entry.Version) && !s.Excludes(l.entry.ID, l.entry.Incarnation, l.entry.Version) {
			return true
		}
	}
	return false
}
