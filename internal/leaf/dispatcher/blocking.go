package dispatcher

import (
	"context"
	"net"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// refresh reads the leaf's status page. It may lower the trust in the leaf, never raise it.
func (l *lane) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	l.mutex.Lock()
	s := l.sender
	l.mutex.Unlock()
	self, err := s.Status(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reachable = err == nil
	if err != nil {
		return
	}
	l.noteIncarnationLocked(self.GetIncarnation())
	if l.shownDraining && !self.GetDraining() {
		l.refusedDraining = false
	}
	l.shownDraining = self.GetDraining()
	l.self = self
	l.readAt = l.dispatcher.config.Clock.Now()
}

// blockedCode says why the leaf takes no new work, or OK.
func (l *lane) blockedCode() pb.ResultCode {
	d := l.dispatcher
	if !d.config.Source.Index().ZoneInService(l.leaf.GetAvailabilityZone()) {
		return pb.ResultCode_RESULT_CODE_ZONE_OUT
	}
	if l.refusedDraining || l.self.GetDraining() || d.vmLeaves(l.leaf.GetAddress()) {
		return pb.ResultCode_RESULT_CODE_LEAF_DRAINING
	}
	return pb.ResultCode_RESULT_CODE_OK
}

func (d *Dispatcher) vmLeaves(address string) bool {
	if d.config.VMs == nil {
		return false
	}
	ip, _, _ := net.SplitHostPort(address)
	return d.config.VMs.LeavingVM(ip)
}

// observeBlocked notes when the leaf began to take no new work, answers the jobs that wait for it, and
// starts from cold when it takes work again.
func (l *lane) observeBlocked() {
	l.mutex.Lock()
	code := l.blockedCode()
	blocked := code != pb.ResultCode_RESULT_CODE_OK
	switch {
	case blocked && l.blockedSince.IsZero():
		l.blockedSince = l.dispatcher.config.Clock.Now()
	case !blocked && !l.blockedSince.IsZero():
		l.blockedSince = time.Time{}
		l.limiter.ResetToCold()
	}
	l.mutex.Unlock()
	if !blocked {
		return
	}
	for _, j := range l.drain() {
		j.finish(l.unsent(code))
	}
}

func (l *lane) assertUnblocked(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	blockedFor := now.Sub(l.blockedSince)
	late := !l.blockedSince.IsZero() && blockedFor > blockedGrace
	name := "no_new_work_to_draining_leaf"
	if !l.dispatcher.config.Source.Index().ZoneInService(l.leaf.GetAvailabilityZone()) {
		name = "no_new_work_to_zone_out"
	}
	l.dispatcher.config.Asserter.Check(!late, name, "leaf", l.name, "blocked_for", blockedFor)
}
