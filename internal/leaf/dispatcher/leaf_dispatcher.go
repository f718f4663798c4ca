package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/coder/quartz"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
	"github.com/magnoliastep/magnoliastep/internal/leaf/queuer"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	statusTimeout      = time.Second
	warmIntervalFactor = 10              // warm-up spends at most a tenth of the time on connect cost
	blockedGrace       = 5 * time.Second // after it no call may reach a leaf that is draining or out of service
)

type (
	// leafDispatcher sends all calls of this node to one leaf, with the leaf's queue, limit and connections.
	leafDispatcher struct {
		dispatcher *Dispatcher
		name       string
		limiter    *limiter.Limiter
		mutex      sync.Mutex
		// leaf is the configuration that is applied to sender and limiter.
		leaf   *pb.Leaf
		sender LeafSender
		queue  *queuer.Queuer[*job]
		// inFlight maps each call in flight to the deadline that was sent to the leaf.
		inFlight map[*job]time.Time
		// expiryTimer fires when the job with the earliest deadline can no longer finish in time; nil before the
		// first job.
		expiryTimer *quartz.Timer
		selfReport  *pb.LeafSelf
		// statusReadAt is when the status page was last read; zero before the first read.
		statusReadAt time.Time
		reachable    bool
		// drainingInAnswer is set when an answer of the leaf says that it drains. The status page may be
		// wrong, so it clears the mark only after it has reported the draining itself (drainingInStatus).
		drainingInAnswer bool
		drainingInStatus bool
		// blockedSince is when the leaf was first seen to be blocked; zero while it is not blocked.
		blockedSince time.Time
		// successor is the node that took the leaf over while calls were in flight; nil otherwise.
		successor *pb.Member
		metrics   *leafMetrics
	}
)

func newLeafDispatcher(d *Dispatcher, leaf *pb.Leaf) *leafDispatcher {
	l := &leafDispatcher{
		dispatcher: d, name: leaf.GetName(), leaf: leaf, sender: d.config.NewSender(leaf),
		limiter: limiter.New(limiter.Config{Bounds: boundsOf(leaf), Asserter: d.config.Asserter}),
		queue:   queuer.New[*job](), inFlight: map[*job]time.Time{}, selfReport: &pb.LeafSelf{},
	}
	l.metrics = newLeafMetrics(d.config.Metrics, l)
	l.warm(l.sender, leaf)
	return l
}

func boundsOf(l *pb.Leaf) limiter.Bounds {
	return limiter.Bounds{
		Slots: int(l.GetSlots()), Connections: int(l.GetConnections()), ColdSlots: int(l.GetColdSlots()),
	}
}

// configure applies a changed configuration of the leaf. A new address means a new process, which is cold.
func (l *leafDispatcher) configure(leaf *pb.Leaf) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leaf == leaf {
		return
	}
	previous := l.leaf
	l.leaf = leaf
	l.limiter.Resize(boundsOf(leaf))
	if previous.GetAddress() == leaf.GetAddress() && previous.GetConnections() == leaf.GetConnections() {
		return
	}
	l.sender.Close()
	l.sender = l.dispatcher.config.NewSender(leaf)
	if previous.GetAddress() != leaf.GetAddress() {
		l.limiter.ResetToCold()
		l.selfReport = &pb.LeafSelf{}
		l.drainingInAnswer, l.drainingInStatus = false, false
	}
	l.warm(l.sender, leaf)
}

// warm opens as many connections as the limit may ever require, so that no call waits for a connection.
func (l *leafDispatcher) warm(s LeafSender, leaf *pb.Leaf) {
	count := int(min(leaf.GetSlots()+1, leaf.GetConnections()))
	interval := warmIntervalFactor * leaf.GetConnectCost().AsDuration()
	go s.OpenConnections(context.Background(), count, interval)
}

func (l *leafDispatcher) enqueue(j *job) {
	l.mutex.Lock()
	j.handle = l.queue.Push(queuer.Item[*job]{
		Class: j.class, Worth: j.worth, FullWorthUntil: j.fullWorthUntil, Deadline: j.deadline, Value: j,
	})
	j.stopCancelWatch = context.AfterFunc(j.context, func() { l.removeCancelled(j) })
	l.mutex.Unlock()
	l.dispatch()
}

// removeCancelled removes a cancelled job from the queue and finishes it.
func (l *leafDispatcher) removeCancelled(j *job) {
	l.mutex.Lock()
	removed := l.queue.Remove(j.handle)
	l.mutex.Unlock()
	if removed {
		<-l.dispatcher.waitTokens
		j.finish(l.unsentOutcome(l.dispatcher.unsentCode(j)))
	}
}

// dispatch starts queued jobs while tenure and limit allow it, and finishes the jobs that cannot meet their
// deadlines.
func (l *leafDispatcher) dispatch() {
	for {
		j, until, infeasible := l.nextJob()
		for _, h := range infeasible {
			l.releaseWaitToken(h)
			l.metrics.queueDeadlines.Inc()
			h.finish(l.unsentOutcome(pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE))
		}
		if j == nil {
			return
		}
		l.releaseWaitToken(j)
		go l.run(j, until)
	}
}

// releaseWaitToken releases the wait token and the cancellation watch of a job that has left the queue.
func (l *leafDispatcher) releaseWaitToken(j *job) {
	<-l.dispatcher.waitTokens
	j.stopCancelWatch()
}

// nextJob acquires a slot for the next job and returns the job, the time until which the leaf may work on
// it, and the jobs that cannot finish in time.
func (l *leafDispatcher) nextJob() (*job, time.Time, []*job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.dispatcher.config.Clock.Now()
	latency := l.limiter.Latency()
	infeasible := l.queue.RemoveInfeasible(now, latency)
	defer l.armExpiryTimerLocked(now, latency)
	if l.queue.Len() == 0 || l.blockedCode() != pb.ResultCode_RESULT_CODE_OK || !l.limiter.TryAcquire() {
		return nil, time.Time{}, infeasible
	}
	// The tenure is read after the slot is acquired, so that a concurrent handover counts this call.
	until, ok := l.dispatcher.config.Tenure.TenureEnd(l.name)
	var j *job
	if ok {
		j, ok = l.queue.Pop(now, latency)
	}
	if !ok {
		l.limiter.Release(limiter.Result{Outcome: limiter.OutcomeCancelled, ForeignLoad: -1})
		return nil, time.Time{}, infeasible
	}
	if j.deadline.Before(until) || j.call.Path == sender.PathSubmit {
		until = j.deadline
	}
	l.inFlight[j] = until
	return j, until, infeasible
}

// armExpiryTimerLocked sets expiryTimer to the time after which the job with the earliest deadline can no longer
// finish in time.
func (l *leafDispatcher) armExpiryTimerLocked(now time.Time, latency time.Duration) {
	deadline, ok := l.queue.NextDeadline()
	if !ok {
		return
	}
	wait := max(time.Millisecond, deadline.Add(-latency).Sub(now)+time.Microsecond)
	if l.expiryTimer == nil {
		l.expiryTimer = l.dispatcher.config.Clock.AfterFunc(wait, l.dispatch)
		return
	}
	l.expiryTimer.Reset(wait)
}

// run makes the call. The deadline sent to the leaf is at most the end of the tenure (except for submits),
// so that no call of this owner is still running when another node owns the leaf.
func (l *leafDispatcher) run(j *job, until time.Time) {
	clock := l.dispatcher.config.Clock
	startedAt := clock.Now()
	if j.pastNotAfter(startedAt) {
		o := pastNotAfterOutcome()
		l.recordOutcome(j, o, 0)
		j.finish(o)
		l.dispatch()
		return
	}
	l.assertUnblocked(startedAt)
	l.metrics.calls.Inc()
	if j.call.Attempt > 1 {
		l.metrics.extraCalls.Inc()
	}
	l.mutex.Lock()
	s := l.sender
	otherInFlight := l.limiter.InFlight() - 1
	l.mutex.Unlock()
	ctx, cancel := context.WithDeadline(j.context, until)
	defer cancel()
	j.call.TimeLeft = until.Sub(startedAt)
	answer, err := s.Send(ctx, j.call)
	o := outcome{code: coder.CodeOf(err), answer: answer, latency: clock.Since(startedAt), sent: true}
	if err != nil {
		o.message = err.Error()
	}
	l.recordOutcome(j, o, otherInFlight)
	o.expectedWait, o.expectedLatency = l.estimate()
	j.finish(o)
	l.dispatch()
}

// recordOutcome releases the slot and updates the limiter, the incarnation and the draining mark of the leaf.
func (l *leafDispatcher) recordOutcome(j *job, o outcome, otherInFlight int) {
	result := limiter.Result{Outcome: limiterOutcome(o.code), Latency: o.latency, ForeignLoad: -1}
	if result.Outcome == limiter.OutcomeTimeout && l.dispatcher.config.Clock.Now().Before(j.deadline) {
		result.Outcome = limiter.OutcomeCancelled // the tenure ended before the job's deadline
	}
	if o.code == pb.ResultCode_RESULT_CODE_LEAF_SHED {
		l.metrics.sheds.Inc()
	}
	if o.answer.Incarnation != "" {
		result.ForeignLoad = max(0, o.answer.Load-otherInFlight)
	}
	l.limiter.Release(result)
	l.mutex.Lock()
	delete(l.inFlight, j)
	successor := l.successor
	if len(l.inFlight) > 0 {
		successor = nil
	}
	if o.answer.Incarnation != "" {
		l.updateIncarnationLocked(o.answer.Incarnation)
		l.drainingInAnswer = l.drainingInAnswer || o.answer.Draining
	}
	l.mutex.Unlock()
	if successor != nil {
		go l.dispatcher.sendHandover(context.Background(), successor, &pb.LeafState{Leaf: l.name})
	}
}

func (l *leafDispatcher) updateIncarnationLocked(incarnation string) {
	previous := l.selfReport.GetIncarnation()
	if previous != "" && previous != incarnation {
		l.limiter.ResetToCold()
		l.drainingInAnswer, l.drainingInStatus = false, false
	}
	l.selfReport.Incarnation = incarnation
}

func limiterOutcome(code pb.ResultCode) limiter.Outcome {
	switch code {
	case pb.ResultCode_RESULT_CODE_OK:
		return limiter.OutcomeSuccess
	case pb.ResultCode_RESULT_CODE_LEAF_SHED:
		return limiter.OutcomeShed
	case pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT:
		return limiter.OutcomeTimeout
	case pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE:
		return limiter.OutcomeUnreachable
	case pb.ResultCode_RESULT_CODE_CANCELLED, pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT,
		pb.ResultCode_RESULT_CODE_LEAF_DRAINING:
		return limiter.OutcomeCancelled
	default:
		return limiter.OutcomeFailure
	}
}

// drainQueue removes and returns all queued jobs.
func (l *leafDispatcher) drainQueue() []*job {
	l.mutex.Lock()
	jobs := l.queue.Drain()
	l.mutex.Unlock()
	for _, j := range jobs {
		l.releaseWaitToken(j)
	}
	return jobs
}

// idle tells whether no job is queued or in flight.
func (l *leafDispatcher) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.Len() == 0 && len(l.inFlight) == 0
}

// close finishes the queued jobs and releases the resources of a leaf that is no longer configured.
func (l *leafDispatcher) close() {
	for _, j := range l.drainQueue() {
		j.finish(l.unsentOutcome(pb.ResultCode_RESULT_CODE_NO_REPLICA))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.expiryTimer != nil {
		l.expiryTimer.Stop()
	}
	l.sender.Close()
	l.metrics.close()
}

func (l *leafDispatcher) unsentOutcome(code pb.ResultCode) outcome {
	o := outcome{code: code}
	o.expectedWait, o.expectedLatency = l.estimate()
	return o
}

// estimate returns the expected queueing time of a new call and its expected latency at the leaf.
func (l *leafDispatcher) estimate() (wait, latency time.Duration) {
	l.mutex.Lock()
	queued := l.queue.Len()
	l.mutex.Unlock()
	latency = l.limiter.Latency()
	return time.Duration(float64(latency) * float64(queued) / l.limiter.Limit()), latency
}

func (l *leafDispatcher) status() *pb.LeafStatus {
	wait, latency := l.estimate()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &pb.LeafStatus{
		Leaf:            l.name,
		Snapshots:       l.selfReport.GetSnapshots(),
		Draining:        l.blockedCode() == pb.ResultCode_RESULT_CODE_LEAF_DRAINING,
		Reachable:       l.reachable,
		Incarnation:     l.selfReport.GetIncarnation(),
		ExpectedWait:    durationpb.New(wait),
		ExpectedLatency: durationpb.New(latency),
		Limit:           l.limiter.Limit(),
		InFlight:        uint32(l.limiter.InFlight()),
		Cold:            l.limiter.Cold(),
		Owner:           l.dispatcher.config.NodeName,
		Age:             durationpb.New(l.dispatcher.config.Clock.Since(l.statusReadAt)),
	}
}
