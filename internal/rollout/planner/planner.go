// Package planner decides how a roll-out of a software version goes on: which share of a service's requests may go to
// the new version, when all of them do, and when the roll-out is completed or reverted.
//
// It answers this load: the new version may turn out bad at any time, and may have got at most a tenth of the requests
// and 50 more by then; a good one must have all requests by the deadline, also with little traffic or a store that is
// away for seconds. So the version gets a small share for most of the time. Near the deadline the share rises in steps,
// because some versions are bad only under load, and some requests still go to the other versions to compare with. Then
// all nodes leave the other versions, whose leaves stop as soon as the roll-out is completed.
package planner

import "time"

const (
	// Wait means that no decision is due.
	Wait Outcome = iota
	// Complete means that the roll-out is to be completed now.
	Complete
	// Revert means that the roll-out is to be reverted now.
	Revert
)

const (
	// provingPart is the part of the bound's share that the new version gets until the handover.
	provingPart = 0.3
	// halfShare and loadShare are the steps of the handover. The rest is needed to compare with.
	halfShare = 0.3
	loadShare = 0.85
	// The version gets no more requests for the time being once it has got this part of the bound. The rest is left
	// to the handover.
	exposedPart = 0.6
	// The handover begins handoverShare of the duration before the deadline, but no later than minHandover and no
	// earlier than maxHandover before it, and never before maxHandoverShare of the duration is left.
	handoverShare    = 0.25
	minHandover      = 8 * time.Second
	maxHandover      = 20 * time.Second
	maxHandoverShare = 0.5
	// movingTime is how long it takes until all nodes have left the other versions and have said so.
	movingTime = 1500 * time.Millisecond
	// halfPart and loadPart are the parts of the requests that the version may still get which the steps use.
	halfPart = 0.2
	loadPart = 0.7
	// maxHalf and maxLoad are the largest parts of the handover that the steps take.
	maxHalf = 0.15
	maxLoad = 0.2
	// pressingUntil is the share of the handover after which it goes on although leaves are cold or missing.
	pressingUntil = 0.5
	// forceTime is how long before the deadline the roll-out is completed although nodes haven't confirmed that
	// they have left the other versions.
	forceTime = 2 * time.Second
)

type (
	// Outcome is a decision that ends a roll-out.
	Outcome int

	// Bounds limit what a bad version may get: a share of the requests since the order, and a fixed number on top.
	Bounds struct {
		Share, Slack float64
	}

	// Situation is what is known of a roll-out.
	Situation struct {
		Bounds Bounds
		// Age is the time since the order, Duration its time limit.
		Age, Duration time.Duration
		// Bad is set when the version has been found bad.
		Bad bool
		// Answers counts the answers of all versions since the order, and Exposed those of the new version.
		Answers, Exposed uint64
		// Leaves is the number of leaves of the new version, Cold how many of them are cold, and OtherLeaves
		// the number of leaves of other versions.
		Leaves, Cold, OtherLeaves int
		// Unmoved is the number of nodes that haven't confirmed that they have left the other versions.
		Unmoved int
	}

	// Plan is what follows from a situation.
	Plan struct {
		// Share is the share of requests that go to the new version.
		Share float64
		// Sealed is set when no request may go to other versions.
		Sealed  bool
		Outcome Outcome
		// Reason names the step for the log.
		Reason string
	}
)

// Decide returns the plan for a situation.
func Decide(s Situation) Plan {
	left := s.Duration - s.Age
	switch {
	case s.Bad:
		return Plan{Outcome: Revert, Reason: "bad"}
	case s.Leaves == 0 && left <= 0:
		return Plan{Outcome: Revert, Reason: "no_leaf_by_deadline"}
	case s.Leaves == 0:
		return Plan{Reason: "no_leaf"}
	case left > handoverTime(s.Duration):
		return s.prove()
	}
	return s.handOver(left)
}

// prove returns the plan before the handover.
func (s Situation) prove() Plan {
	if float64(s.Exposed) > exposedPart*(s.Bounds.Share*float64(s.Answers)+s.Bounds.Slack) {
		return Plan{Reason: "exposed"}
	}
	return Plan{Share: provingPart * s.Bounds.Share, Reason: "proving"}
}

// handOver returns the plan during the handover, with the time left until the deadline.
func (s Situation) handOver(left time.Duration) Plan {
	handover := handoverTime(s.Duration)
	halfUntil, loadUntil := s.stepEnds(handover)
	progress := 1 - float64(left)/float64(handover)
	switch {
	case progress < pressingUntil && (s.Cold > 0 || s.Leaves < s.OtherLeaves):
		return Plan{Share: provingPart * s.Bounds.Share, Reason: "leaves_not_ready"}
	case progress < halfUntil:
		return Plan{Share: halfShare, Reason: "half"}
	case progress < loadUntil:
		return Plan{Share: loadShare, Reason: "load"}
	case s.Unmoved > 0 && left > forceTime:
		return Plan{Share: 1, Sealed: true, Reason: "moving"}
	case s.Unmoved > 0:
		return Plan{Share: 1, Sealed: true, Outcome: Complete, Reason: "deadline"}
	default:
		return Plan{Share: 1, Sealed: true, Outcome: Complete, Reason: "moved"}
	}
}

// stepEnds returns the ends of the two steps as parts of the handover. They are as long as the bound on the requests of
// an unproven version allows, so that the version is seen under load.
func (s Situation) stepEnds(handover time.Duration) (half, load float64) {
	usable := s.Bounds.Share*(s.Duration.Seconds()-provingPart*(s.Duration-handover).Seconds()) - movingTime.Seconds()
	usable = max(usable, 0) / handover.Seconds()
	half = min(halfPart*usable/halfShare, maxHalf)
	return half, half + min(loadPart*usable/loadShare, maxLoad)
}

// handoverTime returns how long before the deadline the handover begins.
func handoverTime(duration time.Duration) time.Duration {
	t := time.Duration(handoverShare * float64(duration))
	t = min(max(t, minHandover), maxHandover)
	return max(min(t, time.Duration(maxHandoverShare*float64(duration))), time.Millisecond)
}
