package reporter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
	"github.com/magnoliastep/magnoliastep/internal/quota/reporter"
)

// network hands frames to reporters by address.
type network struct {
	mutex     sync.Mutex
	receivers map[string]*reporter.Reporter
	sent      int
}

// link is the messenger of one node.
type link struct {
	network *network
	name    string
}

func (l link) Send(ctx context.Context, address string, _ messenger.Plane, f *pb.Frame) error {
	l.network.mutex.Lock()
	l.network.sent++
	r := l.network.receivers[address]
	l.network.mutex.Unlock()
	if r == nil {
		return errors.New("not connected")
	}
	r.Receive(ctx, l.name, f.GetQuotaReport())
	return nil
}

// sentCount returns the number of frames sent so far.
func (n *network) sentCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sent
}

// newNode adds a node and returns its limiter and reporter. Its view has itself and the other nodes.
func newNode(n *network, clock quartz.Clock, name string, others ...string) (*limiter.Limiter, *reporter.Reporter) {
	l := limiter.New(limiter.Config{NodeName: name, Process: 7, Bounds: limiter.Bounds{Over: 0.1, Slack: 20}})
	addresses := map[string]string{}
	for _, o := range others {
		addresses[o] = o + ":1"
	}
	r := reporter.New(reporter.Config{
		Limiter: l, Messenger: link{n, name}, Clock: clock, Address: func(name string) string { return addresses[name] },
		View: func() limiter.View {
			return limiter.View{Known: true, Serving: true, Peers: others, Alive: 1 + len(others)}
		},
	})
	n.receivers[name+":1"] = r
	return l, r
}

// Guards against nodes that never learn of each other's grants, or only of one side's: after a few reports one node
// gets the whole quota of an account whose callers are all there, and then the other has none left.
func TestNodesShareQuotaOverMessages(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	n := &network{receivers: map[string]*reporter.Reporter{}}
	l1, r1 := newNode(n, clock, "n1", "n2")
	l2, r2 := newNode(n, clock, "n2", "n1")
	for _, l := range []*limiter.Limiter{l1, l2} {
		l.SetAccounts([]limiter.Account{{Name: "a", Rate: 40, Burst: 40}}, clock.Now())
	}
	pass := func(d time.Duration, ask func()) {
		for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(limiter.ReportPeriod) {
			ask()
			for _, r := range []*reporter.Reporter{r1, r2} {
				before := n.sentCount()
				r.Step(t.Context())
				for range 10 { // sends run on goroutines of their own
					if time.Sleep(time.Millisecond); n.sentCount() > before {
						break
					}
				}
			}
		}
	}
	pass(10*time.Second, func() {})
	granted := 0
	pass(5*time.Second, func() {
		for range 20 {
			if ok, _ := l1.Take("a", clock.Now()); ok {
				granted++
			}
		}
	})
	is.True(granted >= 200) // 40 and 5 times 40, less 15 %
	ok, _ := l2.Take("a", clock.Now())
	_, retryIn := l2.Take("a", clock.Now())
	for range 10 {
		ok, retryIn = l2.Take("a", clock.Now())
	}
	is.True(!ok && retryIn > 0)
}

// Guards against messages between nodes of a deployment whose accounts have no quota.
func TestNothingIsSentWithoutQuota(t *testing.T) {
	is := is.New(t)
	clock := quartz.NewMock(t)
	n := &network{receivers: map[string]*reporter.Reporter{}}
	l, r := newNode(n, clock, "n1", "n2")
	l.SetAccounts([]limiter.Account{{Name: "a"}}, clock.Now())
	for range 50 {
		clock.Advance(limiter.ReportPeriod)
		r.Step(t.Context())
	}
	is.Equal(n.sentCount(), 0)
}
