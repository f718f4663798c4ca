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
	statusTimeout = time.Second
	warmShare     = 10              // connect cost of a new connection is at most a tenth of the time
	blockedGrace  = 5 * time.Second // after it no new work may reach a leaf that is out or draining
)

type (
	// lane is the one way to a leaf: its queue, limit and connections.
	lane struct {
		dispatcher *Dispatcher
		name       string
		limiter    *limiter.Limiter
		mutex      sync.Mutex
		// leaf is the configuration that sender and limiter follow.
		leaf   *pb.Leaf
		sender LeafSender
		queue  *queuer.Queuer[*job]
		// running has the time until which the leaf was told to work on each call in flight.
		running map[*job]time.Time
		// expiry fires when the most urgent job becomes hopeless; nil before the first job.
		expiry *quartz.Timer
		self   *pb.LeafSelf
		// readAt is when self was read; zero before the first reading.
		readAt    time.Time
		reachable bool
		// refusedDraining is set by an answer that says so. The status page may mislead, so it takes the
		// mark back only after it has shown the draining itself.
		refusedDraining bool
		shownDraining   bool
		// blockedSince is since when the leaf takes no new work; zero while it does.
		blockedSince time.Time
		// successor took the leaf over while calls were in flight; nil otherwise.
		successor *pb.Member
		meters    *meters
	}
)

func newLane(d *Dispatcher, leaf *pb.Leaf) *lane {
	l := &lane{
		dispatcher: d, name: leaf.GetName(), leaf: leaf, sender: d.config.NewSender(leaf),
		limiter: limiter.New(limiter.Config{Bounds: boundsOf(leaf), Asserter: d.config.Asserter}),
		queue:   queuer.New[*job](), running: map[*job]time.Time{}, self: &pb.LeafSelf{},
	}
	l.meters = newMeters(d.config.Metrics, l)
	l.warm(l.sender, leaf)
	return l
}

func boundsOf(l *pb.Leaf) limiter.Bounds {
	return limiter.Bounds{
		Slots: int(l.GetSlots()), Connections: int(l.GetConnections()), ColdSlots: int(l.GetColdSlots()),
	}
}

// configure follows a change of the leaf's configuration. A new address is a new process: cold.
func (l *lane) configure(leaf *pb.Leaf) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leaf == leaf {
		return
	}
	before := l.leaf
	l.leaf = leaf
	l.limiter.Resize(boundsOf(leaf))
	if before.GetAddress() == leaf.GetAddress() && before.GetConnections() == leaf.GetConnections() {
		return
	}
	l.sender.Close()
	l.sender = l.dispatcher.config.NewSender(leaf)
	if before.GetAddress() != leaf.GetAddress() {
		l.limiter.ResetToCold()
		l.self = &pb.LeafSelf{}
		l.refusedDraining, l.shownDraining = false, false
	}
	l.warm(l.sender, leaf)
}

// warm opens the connections that the limit may come to need, so that no call waits for one.
func (l *lane) warm(s LeafSender, leaf *pb.Leaf) {
	count := int(min(leaf.GetSlots()+1, leaf.GetConnections()))
	pace := warmShare * leaf.GetConnectCost().AsDuration()
	go s.Warm(context.Background(), count, pace)
}

func (l *lane) enqueue(j *job) {
	l.mutex.Lock()
	j.handle = l.queue.Push(queuer.Item[*job]{
		Class: j.class, Worth: j.worth, FullWorthUntil: j.fullWorthUntil, Deadline: j.deadline, Value: j,
	})
	j.unwatch = context.AfterFunc(j.context, func() { l.drop(j) })
	l.mutex.Unlock()
	l.dispatch()
}

// drop takes out a job whose reply is not wanted any more.
func (l *lane) drop(j *job) {
	l.mutex.Lock()
	removed := l.queue.Remove(j.handle)
	l.mutex.Unlock()
	if removed {
		<-l.dispatcher.room
		j.finish(l.unsent(l.dispatcher.unsentCode(j)))
	}
}

// dispatch starts queued jobs while tenure and limit allow it, and answers those that are hopeless.
func (l *lane) dispatch() {
	for {
		j, until, hopeless := l.next()
		for _, h := range hopeless {
			l.leave(h)
			l.meters.expired.Inc()
			h.finish(l.unsent(pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE))
		}
		if j == nil {
			return
		}
		l.leave(j)
		go l.run(j, until)
	}
}

// leave gives back what a job held while it waited.
func (l *lane) leave(j *job) {
	<-l.dispatcher.room
	j.unwatch()
}

// next takes a slot for the next job. It also returns until when the leaf may work on it, and the jobs
// that cannot finish in time.
func (l *lane) next() (*job, time.Time, []*job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.dispatcher.config.Clock.Now()
	latency := l.limiter.Latency()
	hopeless := l.queue.Hopeless(now, latency)
	defer l.armLocked(now, latency)
	if l.queue.Len() == 0 || l.blockedCode() != pb.ResultCode_RESULT_CODE_OK || !l.limiter.TryAcquire() {
		return nil, time.Time{}, hopeless
	}
	// The tenure is read after the slot is taken, so that a handover counts this call.
	until, ok := l.dispatcher.config.Tenure.Until(l.name)
	var j *job
	if ok {
		j, ok = l.queue.Pop(now, latency)
	}
	if !ok {
		l.limiter.Release(limiter.Result{Outcome: limiter.OutcomeCancelled, ForeignLoad: -1})
		return nil, time.Time{}, hopeless
	}
	if j.deadline.Before(until) || j.call.Path == sender.PathSubmit {
		until = j.deadline
	}
	l.running[j] = until
	return j, until, hopeless
}

// armLocked sets the timer for the next job that becomes hopeless.
func (l *lane) armLocked(now time.Time, latency time.Duration) {
	deadline, ok := l.queue.NextDeadline()
	if !ok {
		return
	}
	wait := max(time.Millisecond, deadline.Add(-latency).Sub(now)+time.Microsecond)
	if l.expiry == nil {
		l.expiry = l.dispatcher.config.Clock.AfterFunc(wait, l.dispatch)
		return
	}
	l.expiry.Reset(wait)
}

// run makes the call. The leaf is told to stop at the end of the tenure, so that nothing of this owner
// runs under another.
func (l *lane) run(j *job, until time.Time) {
	clock := l.dispatcher.config.Clock
	startedAt := clock.Now()
	if j.heldUp(startedAt) {
		o := heldUpOutcome()
		l.learn(j, o, 0)
		j.finish(o)
		l.dispatch()
		return
	}
	l.assertUnblocked(startedAt)
	l.meters.calls.Inc()
	if j.call.Attempt > 1 {
		l.meters.extraCalls.Inc()
	}
	l.mutex.Lock()
	s := l.sender
	others := l.limiter.InFlight() - 1
	l.mutex.Unlock()
	ctx, cancel := context.WithDeadline(j.context, until)
	defer cancel()
	j.call.TimeLeft = until.Sub(startedAt)
	answer, err := s.Send(ctx, j.call)
	o := outcome{code: coder.Of(err), answer: answer, latency: clock.Since(startedAt), sent: true}
	if err != nil {
		o.message = err.Error()
	}
	l.learn(j, o, others)
	o.wait, o.expected = l.estimate()
	j.finish(o)
	l.dispatch()
}

// learn releases the slot and updates what is known of the leaf.
func (l *lane) learn(j *job, o outcome, others int) {
	result := limiter.Result{Outcome: outcomeOf(o.code), Latency: o.latency, ForeignLoad: -1}
	if result.Outcome == limiter.OutcomeTimeout && l.dispatcher.config.Clock.Now().Before(j.deadline) {
		result.Outcome = limiter.OutcomeCancelled // the tenure ended, not the caller's time
	}
	if o.code == pb.ResultCode_RESULT_CODE_LEAF_SHED {
		l.meters.sheds.Inc()
	}
	if o.answer.Incarnation != "" {
		result.ForeignLoad = max(0, o.answer.Load-others)
	}
	l.limiter.Release(result)
	l.mutex.Lock()
	delete(l.running, j)
	successor := l.successor
	if len(l.running) > 0 {
		successor = nil
	}
	if o.answer.Incarnation != "" {
		l.noteIncarnationLocked(o.answer.Incarnation)
		l.refusedDraining = l.refusedDraining || o.answer.Draining
	}
	l.mutex.Unlock()
	if successor != nil {
		go l.dispatcher.sendHandover(context.Background(), successor, &pb.LeafState{Leaf: l.name})
	}
}

func (l *lane) noteIncarnationLocked(incarnation string) {
	before := l.self.GetIncarnation()
	if before != "" && before != incarnation {
		l.limiter.ResetToCold()
		l.refusedDraining, l.shownDraining = false, false
	}
	l.self.Incarnation = incarnation
}

func outcomeOf(code pb.ResultCode) limiter.Outcome {
	switch code {
	case pb.ResultCode_RESULT_CODE_OK:
		return limiter.OutcomeSuccess
	case pb.ResultCode_RESULT_CODE_LEAF_SHED:
		return limiter.OutcomeShed
	case pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT:
		return limiter.OutcomeTimeout
	case pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE:
		return limiter.OutcomeRefused
	case pb.ResultCode_RESULT_CODE_CANCELLED, pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT,
		pb.ResultCode_RESULT_CODE_LEAF_DRAINING:
		return limiter.OutcomeCancelled
	default:
		return limiter.OutcomeFailure
	}
}

// drain takes all jobs out of the queue.
func (l *lane) drain() []*job {
	l.mutex.Lock()
	jobs := l.queue.Drain()
	l.mutex.Unlock()
	for _, j := range jobs {
		l.leave(j)
	}
	return jobs
}

// idle tells whether nothing waits and nothing is in flight.
func (l *lane) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.Len() == 0 && len(l.running) == 0
}

// close ends the lane of a leaf that is not configured any more.
func (l *lane) close() {
	for _, j := range l.drain() {
		j.finish(l.unsent(pb.ResultCode_RESULT_CODE_NO_REPLICA))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.expiry != nil {
		l.expiry.Stop()
	}
	l.sender.Close()
	l.meters.close()
}

func (l *lane) unsent(code pb.ResultCode) outcome {
	o := outcome{code: code}
	o.wait, o.expected = l.estimate()
	return o
}

// estimate returns the time that a new call would wait and the time that it would take at the leaf.
func (l *lane) estimate() (wait, latency time.Duration) {
	l.mutex.Lock()
	waiting := l.queue.Len()
	l.mutex.Unlock()
	latency = l.limiter.Latency()
	return time.Duration(float64(latency) * float64(waiting) / l.limiter.Limit()), latency
}

func (l *lane) status() *pb.LeafStatus {
	wait, latency := l.estimate()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &pb.LeafStatus{
		Leaf:            l.name,
		Snapshots:       l.self.GetSnapshots(),
		Draining:        l.blockedCode() == pb.ResultCode_RESULT_CODE_LEAF_DRAINING,
		Reachable:       l.reachable,
		Incarnation:     l.self.GetIncarnation(),
		ExpectedWait:    durationpb.New(wait),
		ExpectedLatency: durationpb.New(latency),
		Limit:           l.limiter.Limit(),
		InFlight:        uint32(l.limiter.InFlight()),
		Cold:            l.limiter.Cold(),
		Owner:           l.dispatcher.config.NodeName,
		Age:             durationpb.New(l.dispatcher.config.Clock.Since(l.readAt)),
	}
}
