package leaser

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// promise is given to another node. Until it expires, this node neither dispatches to the leaf nor promises it to
// any other node.
type promise struct {
	holder string
	// startedAt is the start time of the holder's process; a later process of the same name does not inherit the
	// promise.
	startedAt int64
	expiresAt time.Time
	// renewed is set once the holder has renewed the promise, which shows that it dispatched under it.
	renewed bool
}

// HandleRequest gives, renews, refuses or releases the promises that another node requests. It also returns the
// leaves that this node held and has given up to the sender; the calling code adds their states to the reply before
// it sends the reply.
func (l *Leaser) HandleRequest(from string, request *pb.TenureRequest) (*pb.TenureReply, []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.config.Clock.Now()
	if request.GetDuration().AsDuration() <= 0 {
		l.releaseLocked(from, request.GetLeaves())
		return &pb.TenureReply{}, nil
	}
	renewals := make(map[string]bool, len(request.GetRenewals()))
	for _, leaf := range request.GetRenewals() {
		renewals[leaf] = true
	}
	reply := &pb.TenureReply{Duration: request.GetDuration()}
	var relinquished []string
	for _, leaf := range request.GetLeaves() {
		p := l.promises[leaf]
		unbroken := p.active(now) && p.holder == from && p.startedAt == request.GetStartedAt()
		if refusal := l.refusalLocked(leaf, unbroken, renewals[leaf], now); refusal != nil {
			reply.Refused = append(reply.Refused, refusal)
			continue
		}
		if unbroken && p.renewed {
			reply.Unbroken = append(reply.Unbroken, leaf)
		}
		if c := l.claims[leaf]; c != nil && now.Before(c.expiresAt) {
			relinquished = append(relinquished, leaf)
		}
		delete(l.claims, leaf)
		duration := time.Duration(promiseFactor * float64(request.GetDuration().AsDuration()))
		l.promises[leaf] = promise{
			holder: from, startedAt: request.GetStartedAt(), expiresAt: now.Add(duration),
			renewed: renewals[leaf] || (unbroken && p.renewed),
		}
		reply.Granted = append(reply.Granted, leaf)
	}
	return reply, relinquished
}

// recentlyPromisedLocked reports whether the former owner dispatched under this node's promise, in which case this
// node knows when the former owner's tenure ends.
func (l *Leaser) recentlyPromisedLocked(leaf string, now time.Time) bool {
	p := l.promises[leaf]
	return p.renewed && now.Sub(p.expiresAt) < 2*l.config.Tenure
}

// refusalLocked returns why this node refuses to promise the leaf, or nil when it may promise it.
func (l *Leaser) refusalLocked(leaf string, unbroken, renewal bool, now time.Time) *pb.RefusedTenure {
	p := l.promises[leaf]
	c := l.claims[leaf]
	ranked := l.config.Ranks.Ranked(leaf)
	switch {
	case p.active(now) && !unbroken:
		return &pb.RefusedTenure{Leaf: leaf, Holder: p.holder}
	case !l.leaving && len(ranked) > 0 && ranked[0].GetName() == l.config.NodeName:
		refusal := &pb.RefusedTenure{Leaf: leaf}
		if c != nil && now.Before(c.expiresAt) {
			refusal.Holder = l.config.NodeName
		}
		return refusal
	case !renewal && p.holder == "" && now.Sub(l.startedAt) < l.promiseDuration():
		return &pb.RefusedTenure{Leaf: leaf, Starting: true}
	}
	return nil
}

func (l *Leaser) releaseLocked(from string, leaves []string) {
	for _, leaf := range leaves {
		if l.promises[leaf].holder == from {
			delete(l.promises, leaf)
		}
	}
}

func (l *Leaser) promiseDuration() time.Duration {
	return time.Duration(promiseFactor * float64(l.config.Tenure))
}

func (p promise) active(now time.Time) bool {
	return now.Before(p.expiresAt)
}
