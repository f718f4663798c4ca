// Package scaler decides how many further nodes should serve callers beside those of an availability zone that serve
// already. A serving node that is busy asks for helpers, and the request travels with the node's entry in the view, so
// that all nodes name the same helpers without a coordinator.
//
// It answers a load that grows or that few small nodes can't carry. Few nodes serve a small load because each of them
// then knows the leaves better. Helpers are added quickly and removed slowly, one at a time, and only at a load at
// which the remaining nodes stay far below the threshold for new helpers.
package scaler

import "time"

const (
	// busyShare is the share of its VM's processor time above which a node asks for helpers.
	busyShare = 0.5
	// idleShare is the share below which a node does with one helper less.
	idleShare = 0.2
	// busyPeriod and idlePeriod are how long the node has to be above or below before the number changes.
	busyPeriod = time.Second
	idlePeriod = 10 * time.Second
	// settlePeriod is the time after an increase until callers have spread to the new helpers.
	settlePeriod = 4 * time.Second
	// maxHelpers bounds the helpers that one node asks for.
	maxHelpers = 16
)

// Scaler holds the number of helpers that one node asks for. The zero value asks for none. It is not safe for
// concurrent use.
type Scaler struct {
	// helpers is at least 0 and at most maxHelpers.
	helpers int
	// busySince and idleSince are when the node became busy or idle; zero while it is not.
	busySince, idleSince time.Time
	// increasedAt is when helpers was last increased.
	increasedAt time.Time
}

// Observe takes the share of its processor time that the node has used lately, and returns the number of helpers to ask
// for.
func (s *Scaler) Observe(used float64, now time.Time) int {
	s.busySince = since(s.busySince, used > busyShare, now)
	s.idleSince = since(s.idleSince, used < idleShare, now)
	switch {
	case !s.busySince.IsZero() && now.Sub(s.busySince) >= busyPeriod && now.Sub(s.increasedAt) >= settlePeriod:
		s.helpers = min(maxHelpers, max(1, 2*s.helpers))
		s.increasedAt = now
		s.busySince = time.Time{}
	case !s.idleSince.IsZero() && now.Sub(s.idleSince) >= idlePeriod && s.helpers > 0:
		s.helpers--
		s.idleSince = now
	}
	return s.helpers
}

// since returns when a condition that holds began to hold, or zero if it does not hold.
func since(began time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	default:
		return began
	}
}
