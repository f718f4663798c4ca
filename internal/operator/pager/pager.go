// Package pager pages the directors of a service when one of its classes misses its floor. Each node checks its own
// demand and reports such a class to the paging node of the class, which rendezvous hashing selects among the live
// nodes. The paging node opens a page, stores it in the platform if the platform is available,
// and posts it to the directors until it is answered. Reporting nodes receive the page's id, so that a node that takes
// over paging continues with the same page.
package pager

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/ranker"
)

const (
	checkPeriod = time.Second
	// A class is reported after it missed its floor in minFloorMisses consecutive checks.
	minFloorMisses      = 2
	reportTimeout       = time.Second
	reportLifetime      = 5 * time.Second
	postTimeout         = 3 * time.Second
	initialPostInterval = 5 * time.Second
	maxPostInterval     = time.Minute
	storeInterval       = 10 * time.Second
	// Nodes that open a page for the same class in the same interval of length pageIDBucket give it the same id.
	pageIDBucket = 30 * time.Second
)

type (
	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
		Versions() map[string]int64
	}

	// View lists the live nodes.
	View interface {
		Members() []*pb.Member
	}

	// Messenger sends requests to other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Demand returns the recent demand of a class at this node.
	Demand interface {
		Demand(service, class string) tallier.Demand
	}

	// Grants returns the grant of a class if a director has agreed to refusals.
	Grants interface {
		GrantInForce(service, class string) *pb.Grant
	}

	// Applier stores pages.
	Applier interface {
		Apply(ctx context.Context, c applier.Change) *pb.ChangeOutcome
	}

	// HTTPClient is the HTTP client that posts pages to directors.
	HTTPClient interface {
		Do(r *http.Request) (*http.Response, error)
	}

	// Config holds what a Pager needs.
	Config struct {
		NodeName   string
		Source     ConfigSource
		View       View
		Messenger  Messenger
		Demand     Demand
		Grants     Grants
		Applier    Applier
		HTTPClient HTTPClient
		Clock      quartz.Clock
		Logger     *slog.Logger
		Metrics    *metrics.Set
	}

	// Pager pages directors. It is safe for concurrent use.
	Pager struct {
		config Config
		// tasks tracks the running goroutines that send reports, post pages and store pages.
		tasks sync.WaitGroup
		mutex sync.Mutex
		// classes holds the state of each class by the class's name in object keys.
		classes map[string]*classState
	}

	// classState is the state of one class and its page at this node.
	classState struct {
		// floorMisses counts the consecutive checks in which the class missed its floor at this node.
		floorMisses int
		// openPage is the page that is open as far as this node knows; its id is empty if there is none.
		openPage page
		// reports holds the latest report of each node; it is empty at nodes other than the paging node.
		reports map[string]receivedReport
		// attempts counts this node's posts of the open page.
		attempts     uint32
		nextPostAt   time.Time
		postInterval time.Duration
		nextStoreAt  time.Time
	}

	page struct {
		id       string
		openedAt time.Time
	}

	receivedReport struct {
		report     *pb.DemandReport
		receivedAt time.Time
	}
)

// New returns a Pager without open pages.
func New(c Config) *Pager {
	return &Pager{config: c, classes: map[string]*classState{}}
}

// Run checks every class once a second until the context ends.
func (p *Pager) Run(ctx context.Context) {
	ticker := p.config.Clock.NewTicker(checkPeriod)
	defer ticker.Stop()
	defer p.tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.checkClasses(ctx)
		}
	}
}

// HandleReport records the report of a node and returns the open page, which it opens if needed.
func (p *Pager) HandleReport(from string, r *pb.DemandReport) *pb.DemandReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	class := p.config.Source.Index().Class(r.GetService(), r.GetClass())
	if class == nil {
		return &pb.DemandReply{}
	}
	s := p.stateLocked(class)
	s.reports[from] = receivedReport{report: r, receivedAt: p.config.Clock.Now()}
	p.openPageLocked(class, s)
	return &pb.DemandReply{PageId: s.openPage.id, OpenedAtUnix: s.openPage.openedAt.Unix()}
}

// checkClasses reports every class that misses its floor and pages for the classes whose paging node is this node.
func (p *Pager) checkClasses(ctx context.Context) {
	members := p.config.View.Members()
	for _, class := range p.config.Source.Index().Classes() {
		pagingNode := ranker.First(ranker.Key{Name: "page/" + className(class)}, members)
		if r := p.checkDemand(class); r != nil {
			p.sendReport(ctx, class, pagingNode, r)
		}
		if pagingNode.GetName() == p.config.NodeName {
			p.pageClass(ctx, class)
		}
	}
}

// checkDemand returns a report if the class missed its floor in enough consecutive checks at this node, or nil.
func (p *Pager) checkDemand(class *pb.Class) *pb.DemandReport {
	d := p.config.Demand.Demand(class.GetService(), class.GetName())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.stateLocked(class)
	if !d.MissesFloor() {
		s.floorMisses = 0
		return nil
	}
	s.floorMisses++
	if s.floorMisses < minFloorMisses {
		return nil
	}
	p.applyConfigLocked(class, s)
	r := &pb.DemandReport{
		Service: class.GetService(), Class: class.GetName(),
		Requests: d.Requests, Misses: d.Misses, InProgress: d.InProgress, PageId: s.openPage.id,
	}
	if s.openPage.id != "" {
		r.OpenedAtUnix = s.openPage.openedAt.Unix()
	}
	return r
}

// sendReport sends the report to the paging node and adopts the page that the reply names. This node handles the report
// itself if it is the paging node or if there is none.
func (p *Pager) sendReport(ctx context.Context, class *pb.Class, pagingNode *pb.Member, r *pb.DemandReport) {
	if pagingNode == nil || pagingNode.GetName() == p.config.NodeName {
		p.HandleReport(p.config.NodeName, r)
		return
	}
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		frame := &pb.Frame{Body: &pb.Frame_DemandReport{DemandReport: r}}
		f, err := p.config.Messenger.Call(ctx, pagingNode.GetPeerAddress(), messenger.PlaneControl, frame)
		reply := f.GetDemandReply()
		if err != nil || reply.GetPageId() == "" {
			return
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.stateLocked(class).adopt(page{id: reply.GetPageId(), openedAt: time.Unix(reply.GetOpenedAtUnix(), 0)})
	})
}

func (p *Pager) stateLocked(class *pb.Class) *classState {
	name := className(class)
	if p.classes[name] == nil {
		p.classes[name] = &classState{reports: map[string]receivedReport{}}
	}
	return p.classes[name]
}

// className returns the name of the class in object keys.
func className(class *pb.Class) string {
	return keyer.ClassName(class.GetService(), class.GetName())
}
