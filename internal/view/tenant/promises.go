package tenant

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// promise keeps this node from dispatching to a leaf, and from promising it to others.
type promise struct {
	holder string
	// startedAt tells the holder's process from its successors.
	startedAt int64
	until     time.Time
	// held is set once the holder has renewed: it did dispatch under this promise.
	held bool
}

// HandleRequest answers another node. It also returns the leaves that this node held and has given up to
// the sender; the caller puts their states into the reply before it is sent.
func (t *Tenant) HandleRequest(from string, r *pb.TenureRequest) (*pb.TenureReply, []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.config.Clock.Now()
	if r.GetDuration().AsDuration() <= 0 {
		t.releaseLocked(from, r.GetLeaves())
		return &pb.TenureReply{}, nil
	}
	renewals := make(map[string]bool, len(r.GetRenewals()))
	for _, leaf := range r.GetRenewals() {
		renewals[leaf] = true
	}
	reply := &pb.TenureReply{Duration: r.GetDuration()}
	var relinquished []string
	for _, leaf := range r.GetLeaves() {
		p := t.promises[leaf]
		unbroken := p.active(now) && p.holder == from && p.startedAt == r.GetStartedAt()
		if refusal := t.refusalLocked(leaf, unbroken, renewals[leaf], now); refusal != nil {
			reply.Refused = append(reply.Refused, refusal)
			continue
		}
		if unbroken && p.held {
			reply.Unbroken = append(reply.Unbroken, leaf)
		}
		if c := t.claims[leaf]; c != nil && now.Before(c.until) {
			relinquished = append(relinquished, leaf)
		}
		delete(t.claims, leaf)
		lasts := time.Duration(promiseMargin * float64(r.GetDuration().AsDuration()))
		t.promises[leaf] = promise{
			holder: from, startedAt: r.GetStartedAt(), until: now.Add(lasts),
			held: renewals[leaf] || (unbroken && p.held),
		}
		reply.Granted = append(reply.Granted, leaf)
	}
	return reply, relinquished
}

// promisedLatelyLocked tells whether the former owner dispatched under this node's promise, so that this
// node knows when the right ends.
func (t *Tenant) promisedLatelyLocked(leaf string, now time.Time) bool {
	p := t.promises[leaf]
	return p.held && now.Sub(p.until) < 2*t.config.Tenure
}

func (t *Tenant) refusalLocked(leaf string, unbroken, renewal bool, now time.Time) *pb.RefusedTenure {
	p := t.promises[leaf]
	c := t.claims[leaf]
	ranked := t.config.Ranks.Ranked(leaf)
	switch {
	case p.active(now) && !unbroken:
		return &pb.RefusedTenure{Leaf: leaf, Holder: p.holder}
	case !t.leaving && len(ranked) > 0 && ranked[0].GetName() == t.config.NodeName:
		refusal := &pb.RefusedTenure{Leaf: leaf}
		if c != nil && now.Before(c.until) {
			refusal.Holder = t.config.NodeName
		}
		return refusal
	case !renewal && p.holder == "" && now.Sub(t.startedAt) < t.promiseTime():
		return &pb.RefusedTenure{Leaf: leaf, Starting: true}
	}
	return nil
}

func (t *Tenant) releaseLocked(from string, leaves []string) {
	for _, leaf := range leaves {
		if t.promises[leaf].holder == from {
			delete(t.promises, leaf)
		}
	}
}

func (t *Tenant) promiseTime() time.Duration {
	return time.Duration(promiseMargin * float64(t.config.Tenure))
}

func (p promise) active(now time.Time) bool {
	return now.Before(p.until)
}
