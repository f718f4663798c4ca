package dispatcher

import (
	"context"
	"net"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// readStatus reads the leaf's status page. The page can mark the leaf as draining, but it cannot clear a
// draining mark set by a leaf's answer unless it reported the draining itself before.
func (l *leafDispatcher) readStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	l.mutex.Lock()
	s := l.sender
	l.mutex.Unlock()
	report, err := s.Status(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reachable = err == nil
	if err != nil {
		return
	}
	l.updateIncarnationLocked(report.GetIncarnation())
	if l.drainingInStatus && !report.GetDraining() {
		l.drainingInAnswer = false
	}
	l.drainingInStatus = report.GetDraining()
	l.selfReport = report
	l.statusReadAt = l.dispatcher.config.Clock.Now()
}

// blockedCode returns the reason why no new calls may be sent to the leaf, or OK.
func (l *leafDispatcher) blockedCode() pb.ResultCode {
	d := l.dispatcher
	if !d.config.Source.Index().ZoneInService(l.leaf.GetAvailabilityZone()) {
		return pb.ResultCode_RESULT_CODE_ZONE_OUT
	}
	if l.drainingInAnswer || l.selfReport.GetDraining() || d.vmIsLeaving(l.leaf.GetAddress()) {
		return pb.ResultCode_RESULT_CODE_LEAF_DRAINING
	}
	return pb.ResultCode_RESULT_CODE_OK
}

func (d *Dispatcher) vmIsLeaving(address string) bool {
	if d.config.LeavingVMs == nil {
		return false
	}
	ip, _, _ := net.SplitHostPort(address)
	return d.config.LeavingVMs.LeavingVM(ip)
}

// updateBlocked records when the leaf became blocked and finishes its queued jobs. When the leaf is no
// longer blocked, the limiter is reset to cold.
func (l *leafDispatcher) updateBlocked() {
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
	for _, j := range l.drainQueue() {
		j.finish(l.unsentOutcome(code))
	}
}

// assertUnblocked checks that no call is sent to a leaf that has been blocked for longer than blockedGrace.
func (l *leafDispatcher) assertUnblocked(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	blockedFor := now.Sub(l.blockedSince)
	tooLate := !l.blockedSince.IsZero() && blockedFor > blockedGrace
	name := "no_new_work_to_draining_leaf"
	if !l.dispatcher.config.Source.Index().ZoneInService(l.leaf.GetAvailabilityZone()) {
		name = "no_new_work_to_zone_out"
	}
	l.dispatcher.config.Asserter.Check(!tooLate, name, "leaf", l.name, "blocked_for", blockedFor)
}
