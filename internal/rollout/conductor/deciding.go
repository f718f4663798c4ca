package conductor

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/rollout/planner"
)

const (
	// minMovedTicks is how many ticks in a row must have had no open call to other versions. One more than a single
	// one, because a call may be about to begin.
	minMovedTicks = 2
	// fleetMemory is how long the largest number of members is remembered to tell a cut-off node by.
	fleetMemory = 20 * time.Second
	// writeTimeout bounds the writing of a status, and writePause is the time between two attempts. After a write
	// or a conflict the order's next revision should arrive within arrivalTime.
	writeTimeout = 1500 * time.Millisecond
	writePause   = 300 * time.Millisecond
	arrivalTime  = 2 * time.Second
)

// Run conducts the roll-outs until the context ends.
func (c *Conductor) Run(ctx context.Context) {
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, c.config.Clock, tickPeriod) {
		c.Tick(ctx)
	}
}

// Tick exchanges reports, decides and applies the share for each roll-out that has something left to do.
func (c *Conductor) Tick(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Clock.Now()
	for _, r := range c.rollouts {
		if !r.isSettled() {
			c.advance(ctx, r, now)
		}
	}
}

// advance makes one tick of a roll-out.
func (c *Conductor) advance(ctx context.Context, r *rollout, now time.Time) {
	members := c.config.Fleet.Members()
	isolated := c.isIsolated(len(members), now)
	leading := c.config.Fleet.Leading(keyPrefix+r.order.Service, deciders)
	decides := !isolated && len(leading) > 0 && leading[0].GetName() == c.config.NodeName
	if !r.isFinal() {
		c.countOpenCalls(r, now)
		c.sendReport(ctx, r, leading, now)
		c.judge(r, leading, now)
		c.makePlan(r, members, now)
		c.applyShare(r, leading, isolated, now)
	}
	if decides && (r.isFinal() || r.dueState() != StateCompleted || r.hearsMost(members, now)) {
		c.write(ctx, r, now)
	}
}

// isIsolated reports whether this node may be cut off from others: most of them have gone, or it may not know them.
func (c *Conductor) isIsolated(members int, now time.Time) bool {
	if members >= c.largestFleet || now.Sub(c.largestFleetAt) > fleetMemory {
		c.largestFleet, c.largestFleetAt = members, now
	}
	return !c.config.Fleet.Known() || 2*members <= c.largestFleet
}

func (c *Conductor) countOpenCalls(r *rollout, now time.Time) {
	_, sealed := r.splitter.Share()
	if !sealed || c.config.Leaves.CountVersions(r.order.Service, r.splitter, now).OtherOpenCalls > 0 {
		r.movedTicks = 0
		return
	}
	r.movedTicks++
}

// judge judges the new version by all answers that have been reported to this node. Others only judge by their own
// answers while no node that decides tells them its plan: many nodes that each judge by a few would often be wrong.
func (c *Conductor) judge(r *rollout, leading []*pb.Member, now time.Time) {
	leaves := c.config.Leaves.CountVersions(r.order.Service, r.splitter, now)
	r.judge.SetLeaves(leaves.Target)
	v := r.judge.Evaluate(now)
	r.verdict = v
	// Without leaves of other versions nothing could serve in place of the new one.
	if !v.Bad || r.stopReason != "" || leaves.Other == 0 || c.isAdvised(r, leading, now) {
		return
	}
	c.stop(r, "bad answers", now, "kind", v.Kind, "route", v.Route, "excess", v.Excess, "limit", v.Limit, "answers",
		v.Answers, "bad_answers", v.BadAnswers)
}

// isAdvised reports whether this node isn't among those that decide and has lately been told the plan of one.
func (c *Conductor) isAdvised(r *rollout, leading []*pb.Member, now time.Time) bool {
	advised := false
	for _, m := range leading {
		if m.GetName() == c.config.NodeName {
			return false
		}
		advised = advised || now.Sub(r.advice[m.GetName()].at) <= maxReportAge
	}
	return advised
}

// stop sends nothing to the new version from now on.
func (c *Conductor) stop(r *rollout, reason string, now time.Time, inputs ...any) {
	if r.isFinal() || r.stop(reason) {
		return
	}
	c.count("stop")
	c.setShare(r, 0, false)
	c.config.Leaves.SetSplit(r.order.Service, r.splitter)
	c.config.Logger.Warn("roll-out stopped", append([]any{
		"service", r.order.Service, "version", r.order.TargetVersion, "reason", reason, "age", r.age(now),
	}, inputs...)...)
}

// makePlan makes this node's plan of a roll-out.
func (c *Conductor) makePlan(r *rollout, members []*pb.Member, now time.Time) {
	leaves := c.config.Leaves.CountVersions(r.order.Service, r.splitter, now)
	s := planner.Situation{
		Bounds: c.config.Bounds(), Age: r.age(now), Duration: r.order.Duration, Bad: r.stopReason != "",
		Answers: r.answers, Exposed: r.exposed,
		Leaves: leaves.Target, Cold: leaves.Cold, OtherLeaves: leaves.Other, Unmoved: r.unmoved(members, now),
	}
	before := r.plan
	r.plan = planner.Decide(s)
	if r.plan.Reason == before.Reason {
		return
	}
	c.config.Logger.Info("roll-out plan", "service", r.order.Service, "version", r.order.TargetVersion, "step",
		r.plan.Reason, "before", before.Reason, "share", r.plan.Share, "sealed", r.plan.Sealed, "age", s.Age, "duration",
		s.Duration, "answers", s.Answers, "exposed", s.Exposed, "leaves", s.Leaves, "cold", s.Cold, "other_leaves",
		s.OtherLeaves, "unmoved", s.Unmoved, "members", len(members), "judged", r.verdict.Answers,
		"bad_answers", r.verdict.BadAnswers, "excess", r.verdict.Excess, "limit", r.verdict.Limit, "stop_reason",
		r.stopReason)
}

// applyShare applies the plan of the first node that decides and has answered lately, or of this one.
func (c *Conductor) applyShare(r *rollout, leading []*pb.Member, isolated bool, now time.Time) {
	if r.stopReason != "" {
		return
	}
	_, wasSealed := r.splitter.Share()
	for _, m := range leading {
		a := r.advice[m.GetName()]
		if m.GetName() == c.config.NodeName {
			a = advice{at: now, share: r.plan.Share, sealed: r.plan.Sealed}
		}
		if isolated || now.Sub(a.at) > maxReportAge {
			continue
		}
		c.setShare(r, a.share, a.sealed)
		return
	}
	// A node that has left the other versions stays with the new one: the roll-out may have been completed.
	if !wasSealed {
		c.setShare(r, 0, false)
	}
}

func (c *Conductor) setShare(r *rollout, share float64, sealed bool) {
	r.splitter.SetShare(share, sealed)
	c.config.Metrics.GetOrCreateGauge(shareGauge(r.order.Service), nil).Set(share)
}

// shareGauge returns the name of the gauge of the share of a service's new version.
func shareGauge(service string) string {
	return "stepfront_rollout_share{service=" + strconv.Quote(service) + "}"
}

// write writes the status that is due, if any.
func (c *Conductor) write(ctx context.Context, r *rollout, now time.Time) {
	next := r.dueState()
	if next == r.stored || r.writing || now.Before(r.writeAfter) {
		return
	}
	r.writing = true
	c.config.Logger.Info("roll-out decision", "service", r.order.Service, "version", r.order.TargetVersion, "state", next,
		"reason", r.plan.Reason, "revision", r.order.Revision, "age", r.age(now), "answers", r.answers, "exposed", r.exposed)
	go c.writeStatus(ctx, r, r.order, next)
}

// dueState returns the state that the status should have.
func (r *rollout) dueState() State {
	switch {
	case r.isFinal():
		return r.order.State
	case r.plan.Outcome == planner.Complete:
		return StateCompleted
	case r.plan.Outcome == planner.Revert:
		return StateReverted
	default:
		return StateRunning
	}
}

// writeStatus writes a status. It arrives with the order's next revision, as on all other nodes. After
// a conflict the order is decided again once its newer revision is known.
func (c *Conductor) writeStatus(ctx context.Context, r *rollout, o Order, next State) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.config.Store.WriteRolloutStatus(ctx, o, next)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r.writing = false
	pause, result := arrivalTime, next.String()
	switch {
	case errors.Is(err, ErrConflict):
		result = "conflict"
	case err != nil:
		pause, result = writePause, "write_failed"
	}
	c.count(result)
	if r.order.Revision == o.Revision {
		r.writeAfter = c.config.Clock.Now().Add(pause)
	}
	c.config.Logger.Info("roll-out status written", "service", o.Service, "version", o.TargetVersion, "state", next,
		"revision", o.Revision, "error", err)
}

func (c *Conductor) count(decision string) {
	c.config.Metrics.GetOrCreateCounter(decisionCounter(decision)).Inc()
}

// decisionCounter returns the name of the counter of a decision.
func decisionCounter(decision string) string {
	return `stepfront_rollout_decisions_total{decision="` + decision + `"}`
}
