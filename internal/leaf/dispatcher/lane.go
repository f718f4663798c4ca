package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/limiter"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	statusTimeout    = time.Second
	latencySmoothing = 0.1 // weight of the newest sample
	submitPollPeriod = time.Millisecond
)

type (
	// lane is the one way to a leaf: its queue, limit and connections.
	lane struct {
		dispatcher *Dispatcher
		name       string
		leaf       *pb.Leaf
		sender     LeafSender
		limiter    *limiter.Limiter
		mutex      sync.Mutex
		// queue has the jobs that wait for a slot, oldest first.
		queue []*job
		self  *pb.LeafSelf
		// readAt is when self was read; zero before the first reading.
		readAt    time.Time
		reachable bool
		latency   time.Duration
	}

	// job is one call that waits or runs.
	job struct {
		context    context.Context //nolint:containedctx // the job outlives the call that queued it
		batch      *pb.LeafBatch
		call       *pb.LeafCall
		deadline   time.Time
		enqueuedAt time.Time
		// done is called exactly once.
		done func(*pb.LeafReply)
	}
)

func newLane(d *Dispatcher, entry indexer.LeafEntry) *lane {
	return &lane{
		dispatcher: d,
		name:       entry.Leaf.GetName(),
		leaf:       entry.Leaf,
		sender:     d.config.NewSender(entry.Leaf),
		self:       &pb.LeafSelf{},
		limiter:    limiter.New(limiter.Config{Bounds: boundsOf(entry.Leaf), Asserter: d.config.Asserter}),
	}
}

func boundsOf(l *pb.Leaf) limiter.Bounds {
	return limiter.Bounds{
		Slots: int(l.GetSlots()), Connections: int(l.GetConnections()), ColdSlots: int(l.GetColdSlots()),
	}
}

func (l *lane) enqueue(j *job) {
	l.mutex.Lock()
	l.queue = append(l.queue, j)
	l.mutex.Unlock()
	l.dispatch()
}

// dispatch starts queued jobs while the limit allows it.
func (l *lane) dispatch() {
	for {
		j := l.next()
		if j == nil {
			return
		}
		go l.run(j)
	}
}

// next takes a slot and the oldest job that can still make its deadline.
func (l *lane) next() *job {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.queue) > 0 {
		j := l.queue[0]
		if j.context.Err() != nil {
			l.queue = l.queue[1:]
			go l.finishUnsent(j)
			continue
		}
		if !l.limiter.TryAcquire() {
			return nil
		}
		l.queue = l.queue[1:]
		return j
	}
	return nil
}

func (l *lane) finishUnsent(j *job) {
	code := pb.ResultCode_RESULT_CODE_CANCELLED
	if !l.dispatcher.config.Clock.Now().Before(j.deadline) {
		code = pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE
	}
	j.done(l.reply(j, code, "", 0))
}

func (l *lane) run(j *job) {
	clock := l.dispatcher.config.Clock
	startedAt := clock.Now()
	answer, err := l.sender.Send(j.context, sender.Call{
		Path:      sender.PathSearch,
		RequestID: j.batch.GetRequestId(),
		Snapshot:  j.batch.GetSnapshot(),
		Partition: j.call.GetPartition(),
		Attempt:   j.call.GetAttempt(),
		TimeLeft:  j.deadline.Sub(startedAt),
		Body:      j.batch.GetQuery(),
	})
	latency := clock.Since(startedAt)
	l.learn(answer, err, latency)
	j.done(l.reply(j, coder.Of(err), answer.Payload, latency))
	l.dispatch()
}

func (l *lane) submit(ctx context.Context, c *pb.SubmitCall) *pb.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, c.GetTimeLeft().AsDuration())
	defer cancel()
	reply := &pb.SubmitReply{RequestId: c.GetRequestId()}
	if !l.acquire(ctx) {
		reply.Code = pb.ResultCode_RESULT_CODE_NOT_RUN
		reply.Message = "no slot at the leaf in time"
		return reply
	}
	startedAt := l.dispatcher.config.Clock.Now()
	deadline, _ := ctx.Deadline()
	answer, err := l.sender.Send(ctx, sender.Call{
		Path:      sender.PathSubmit,
		RequestID: c.GetRequestId(),
		Partition: c.GetPartition(),
		Attempt:   1,
		TimeLeft:  deadline.Sub(startedAt),
		Body:      c.GetPayload(),
	})
	l.learn(answer, err, l.dispatcher.config.Clock.Since(startedAt))
	l.dispatch()
	fillSubmitReply(reply, answer, err)
	return reply
}

// acquire waits for a slot. It returns false when the context ends first.
func (l *lane) acquire(ctx context.Context) bool {
	ticker := l.dispatcher.config.Clock.NewTicker(submitPollPeriod)
	defer ticker.Stop()
	for !l.limiter.TryAcquire() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func fillSubmitReply(reply *pb.SubmitReply, answer sender.Answer, err error) {
	switch {
	case err == nil:
		reply.Code = pb.ResultCode_RESULT_CODE_OK
		reply.Payload = answer.Payload
	case answer.NotRun:
		reply.Code = pb.ResultCode_RESULT_CODE_NOT_RUN
		reply.Message = err.Error()
	default:
		reply.Code = pb.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN
		reply.Message = err.Error()
	}
}

// learn releases the slot and updates what is known of the leaf.
func (l *lane) learn(a sender.Answer, err error, latency time.Duration) {
	l.limiter.Release(limiter.Result{Outcome: outcomeOf(err), Latency: latency, ForeignLoad: -1})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err == nil {
		l.latency = smooth(l.latency, latency)
	}
	if a.Incarnation == "" {
		return
	}
	if l.self.GetIncarnation() != "" && l.self.GetIncarnation() != a.Incarnation {
		l.limiter.ResetToCold()
	}
	l.self.Incarnation = a.Incarnation
	l.self.Draining = a.Draining
}

func outcomeOf(err error) limiter.Outcome {
	switch coder.Of(err) {
	case pb.ResultCode_RESULT_CODE_OK:
		return limiter.OutcomeSuccess
	case pb.ResultCode_RESULT_CODE_LEAF_SHED:
		return limiter.OutcomeShed
	case pb.ResultCode_RESULT_CODE_LEAF_TIMEOUT:
		return limiter.OutcomeTimeout
	case pb.ResultCode_RESULT_CODE_LEAF_UNREACHABLE:
		return limiter.OutcomeRefused
	case pb.ResultCode_RESULT_CODE_CANCELLED, pb.ResultCode_RESULT_CODE_WRONG_SNAPSHOT:
		return limiter.OutcomeCancelled
	default:
		return limiter.OutcomeFailure
	}
}

func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencySmoothing*float64(sample-average))
}

// refresh reads the leaf's status page.
func (l *lane) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	self, err := l.sender.Status(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reachable = err == nil
	if err != nil {
		return
	}
	if before := l.self.GetIncarnation(); before != "" && before != self.GetIncarnation() {
		l.limiter.ResetToCold()
	}
	l.self = self
	l.readAt = l.dispatcher.config.Clock.Now()
}

func (l *lane) status() *pb.LeafStatus {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit := l.limiter.Limit()
	return &pb.LeafStatus{
		Leaf:            l.name,
		Snapshots:       l.self.GetSnapshots(),
		Draining:        l.self.GetDraining(),
		Reachable:       l.reachable,
		Incarnation:     l.self.GetIncarnation(),
		ExpectedWait:    duration(l.expectedWait(limit)),
		ExpectedLatency: duration(l.latency),
		Limit:           limit,
		InFlight:        uint32(l.limiter.InFlight()),
		Cold:            l.limiter.Cold(),
		Owner:           l.dispatcher.config.NodeName,
		Age:             duration(l.dispatcher.config.Clock.Since(l.readAt)),
	}
}

func (l *lane) expectedWait(limit float64) time.Duration {
	return time.Duration(float64(l.latency) * float64(len(l.queue)) / limit)
}

func (l *lane) reply(j *job, code pb.ResultCode, payload string, latency time.Duration) *pb.LeafReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &pb.LeafReply{
		CallId:          j.call.GetCallId(),
		Code:            code,
		Snapshot:        j.batch.GetSnapshot(),
		Partition:       j.call.GetPartition(),
		Payload:         payload,
		RequestId:       j.batch.GetRequestId(),
		ExpectedWait:    duration(l.expectedWait(l.limiter.Limit())),
		ExpectedLatency: duration(l.latency),
		LeafLatency:     duration(latency),
	}
}
