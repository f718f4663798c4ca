package pager_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/config/keeper"
	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/operator/pager"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
)

type (
	// fleet is a set of nodes with a Pager each that share one configuration, one director and one platform.
	fleet struct {
		mutex  sync.Mutex
		nodes  map[string]*node
		keeper *keeper.Keeper
		posts  []*pb.PageNotice
		// postTimes holds the time of each post.
		postTimes []time.Time
		version   int64
		outage    bool
		// directorDown makes every post fail.
		directorDown bool
		granted      bool
	}

	node struct {
		fleet       *fleet
		name        string
		pager       *pager.Pager
		stop        context.CancelFunc
		missesFloor bool
		dead        bool
	}
)

func newFleet(count int, prefix string) *fleet {
	f := &fleet{nodes: map[string]*node{}, keeper: keeper.New(keeper.Config{})}
	f.put(&pb.ConfigObject{Spec: &pb.ConfigObject_Operator{
		Operator: &pb.Operator{Name: "dora", WakeAddress: "http://dora/"},
	}})
	f.put(&pb.ConfigObject{Spec: &pb.ConfigObject_Service{
		Service: &pb.Service{Name: "desk", Directors: []string{"dora"}},
	}})
	f.put(&pb.ConfigObject{Spec: &pb.ConfigObject_Class{Class: &pb.Class{Name: "search", Service: "desk"}}})
	for i := range count {
		n := &node{fleet: f, name: fmt.Sprintf("%s-%d", prefix, i)}
		n.pager = pager.New(pager.Config{
			NodeName: n.name, Source: f.keeper, View: f, Messenger: n, Demand: n, Grants: f, Applier: f, HTTPClient: f,
			Clock: quartz.NewReal(), Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		})
		f.nodes[n.name] = n
	}
	return f
}

func (f *fleet) start() {
	for _, n := range f.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		go n.pager.Run(ctx)
	}
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	synctest.Wait()
}

func (f *fleet) put(o *pb.ConfigObject) int64 {
	f.version++
	o.Version = f.version
	f.keeper.Apply([]*pb.ConfigObject{o}, 0)
	return f.version
}

func (f *fleet) Members() []*pb.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var members []*pb.Member
	for name, n := range f.nodes {
		if !n.dead {
			members = append(members, &pb.Member{Name: name, PeerAddress: name})
		}
	}
	return members
}

// Apply stands in for the platform: it stores the page.
func (f *fleet) Apply(_ context.Context, c applier.Change) *pb.ChangeOutcome {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outage {
		return &pb.ChangeOutcome{Code: pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE}
	}
	p := c.Object.GetPage()
	if f.keeper.Index().Page(p.GetService(), p.GetClass()) != nil && c.ExpectedVersion == 0 {
		return &pb.ChangeOutcome{Code: pb.ResultCode_RESULT_CODE_VERSION_CONFLICT}
	}
	return &pb.ChangeOutcome{Code: pb.ResultCode_RESULT_CODE_OK, Version: f.put(c.Object)}
}

// Do stands in for the director's wake address: it records the post.
func (f *fleet) Do(r *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(r.Body)
	notice := &pb.PageNotice{}
	if err := protojson.Unmarshal(body, notice); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.posts = append(f.posts, notice)
	f.postTimes = append(f.postTimes, time.Now())
	if f.directorDown {
		return nil, errors.New("connection refused")
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (f *fleet) GrantInForce(string, string) *pb.Grant {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.granted {
		return &pb.Grant{}
	}
	return nil
}

// Call delivers a report to another node.
func (n *node) Call(_ context.Context, to string, _ messenger.Plane, frame *pb.Frame) (*pb.Frame, error) {
	n.fleet.mutex.Lock()
	target := n.fleet.nodes[to]
	dead := target.dead
	n.fleet.mutex.Unlock()
	if dead {
		return nil, messenger.ErrNotSent
	}
	reply := target.pager.HandleReport(n.name, frame.GetDemandReport())
	return &pb.Frame{Body: &pb.Frame_DemandReply{DemandReply: reply}}, nil
}

func (n *node) Demand(string, string) tallier.Demand {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.missesFloor {
		return tallier.Demand{Requests: 100, Misses: 50, InProgress: 7}
	}
	return tallier.Demand{Requests: 100}
}

func (f *fleet) update(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *fleet) makeAllMissFloor() {
	f.update(func() {
		for _, n := range f.nodes {
			n.missesFloor = true
		}
	})
}

// postCounts returns the number of posts so far by page id and by posting node.
func (f *fleet) postCounts() (ids, nodes map[string]int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ids, nodes = map[string]int{}, map[string]int{}
	for _, p := range f.posts {
		ids[p.GetPageId()]++
		nodes[p.GetNode()]++
	}
	return ids, nodes
}

// postHistory returns all posts so far with their times.
func (f *fleet) postHistory() ([]*pb.PageNotice, []time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.posts), slices.Clone(f.postTimes)
}

func (f *fleet) answerPage(agreed bool, quiet time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.granted = agreed
	f.put(&pb.ConfigObject{Spec: &pb.ConfigObject_Page{Page: &pb.Page{
		PageId: f.posts[len(f.posts)-1].GetPageId(), Service: "desk", Class: "search", Answered: true, Agreed: agreed,
		AnsweredAt: timestamppb.Now(), QuietFor: durationpb.New(quiet),
	}}})
}

// Guards against pages for classes that meet their floor.
func TestNoPageWhileNoClassMissesFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, "node")
		f.start()
		defer f.stop()
		time.Sleep(time.Minute)
		posts, _ := f.postHistory()
		is.New(t).Equal(len(posts), 0)
	})
}

// Guards against several pages for one overload when all nodes report it, and against posts that stop before the
// director answers or go on afterwards.
func TestOneNodePagesUntilAnswered(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("director down %t", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(9, "node")
				f.directorDown = down
				f.start()
				defer f.stop()
				f.makeAllMissFloor()
				time.Sleep(10 * time.Minute)
				ids, nodes := f.postCounts()
				is.Equal(len(ids), 1)   // one page
				is.Equal(len(nodes), 1) // from one node
				posts, times := f.postHistory()
				count := len(posts)
				is.True(count >= 10)
				is.Equal(posts[count-1].GetRequests(), uint32(900))        // the sum over all nodes' reports
				is.True(times[count-1].Sub(times[count-2]) >= time.Minute) // the interval between posts has grown
				f.answerPage(true, 0)
				time.Sleep(10 * time.Minute)
				posts, _ = f.postHistory()
				is.Equal(len(posts), count) // no more posts after the answer
			})
		})
	}
}

// Guards against a late page when only one node sees the overload.
func TestOneNodeBelowFloorPagesWithinFiveSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, "node")
		f.start()
		defer f.stop()
		f.update(func() { f.nodes["node-3"].missesFloor = true }) // one node is enough
		time.Sleep(5 * time.Second)
		posts, _ := f.postHistory()
		is.New(t).True(len(posts) > 0)
	})
}

// Guards against a second page for the same overload when the paging node dies and another node takes over, with the
// platform available and without.
func TestPagingNodeFailoverKeepsPageID(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform outage %t", outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(9, "node")
				f.outage = outage
				f.start()
				defer f.stop()
				f.makeAllMissFloor()
				time.Sleep(45 * time.Second)
				for range 5 { // the paging node dies five times
					_, nodes := f.postCounts()
					f.update(func() {
						for name := range nodes {
							f.nodes[name].dead = true
							f.nodes[name].missesFloor = false
						}
					})
					for name := range nodes {
						f.nodes[name].stop()
					}
					time.Sleep(45 * time.Second)
				}
				ids, nodes := f.postCounts()
				is.Equal(len(nodes), 6) // another node took over each time
				is.Equal(len(ids), 1)   // with the same page
				stored := f.keeper.Index().Page("desk", "search")
				is.Equal(stored != nil, !outage) // stored in the platform if it is available
			})
		})
	}
}

// Guards against a second page when the new paging node has not reported the class and the platform is unavailable:
// it must take the page's id from the report of another node.
func TestPagingNodeFailoverToNonReportingNodeKeepsPageID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, "node")
		f.outage = true
		f.start()
		defer f.stop()
		f.update(func() { f.nodes["node-0"].missesFloor = true }) // the only node that reports and receives the page id
		time.Sleep(45 * time.Second)
		_, first := f.postCounts()
		f.update(func() {
			for name := range first {
				is.True(name != "node-0")
				f.nodes[name].dead = true
				f.nodes[name].stop()
			}
		})
		time.Sleep(45 * time.Second)
		ids, nodes := f.postCounts()
		is.Equal(len(nodes), 2)
		is.Equal(len(ids), 1)
	})
}

// Guards against two pages for one overload when a network partition leaves one paging node on each side.
func TestNetworkPartitionSidesPageWithSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		left, right := newFleet(4, "left"), newFleet(4, "right")
		left.outage, right.outage = true, true
		left.start()
		defer left.stop()
		right.start()
		defer right.stop()
		time.Sleep(10 * time.Second) // so that both pages open in the same pageIDBucket interval
		left.makeAllMissFloor()
		time.Sleep(7 * time.Second)
		right.makeAllMissFloor()
		time.Sleep(10 * time.Second)
		leftIDs, _ := left.postCounts()
		rightIDs, _ := right.postCounts()
		is.Equal(len(leftIDs), 1)
		for id := range leftIDs {
			is.Equal(len(rightIDs), 1)
			is.True(rightIDs[id] > 0) // both sides use the same page id
		}
	})
}

// Guards against pages during the quiet period after a director declined, and against silence after it while the class
// still misses its floor.
func TestDeclinedPageStaysQuietForItsPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, "node")
		f.start()
		defer f.stop()
		f.makeAllMissFloor()
		time.Sleep(time.Minute)
		f.answerPage(false, 10*time.Minute)
		before, _ := f.postHistory()
		time.Sleep(9 * time.Minute)
		after, _ := f.postHistory()
		is.Equal(len(after), len(before))
		time.Sleep(2 * time.Minute)
		ids, _ := f.postCounts()
		is.Equal(len(ids), 2) // a new page after the quiet period, because the class still misses its floor
	})
}
