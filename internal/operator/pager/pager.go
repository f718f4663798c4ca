// Package pager wakes directors. The demand of each class at this node flows in; where a class misses its
// floor, a report goes to the one node that pages for it, which rendezvous hashing picks over the live
// nodes. That node opens a page, keeps it in the platform if it can, and posts it to the directors of the
// service until it is answered. The reporting nodes learn the page's id, so that the node that takes over
// goes on with the same page.
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
	// A class is reported once it was short in shortChecks checks in a row.
	shortChecks    = 2
	reportTimeout  = time.Second
	reportKeepFor  = 5 * time.Second
	postTimeout    = 3 * time.Second
	firstPostPause = 5 * time.Second
	maxPostPause   = time.Minute
	storePause     = 10 * time.Second
	// Two nodes that open a page for the same class within pageBucket give it the same id.
	pageBucket = 30 * time.Second
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

	// Messenger asks other nodes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Demand tells what was seen of a class at this node.
	Demand interface {
		Demand(service, class string) tallier.Demand
	}

	// Grants tells whether a director has agreed already.
	Grants interface {
		GrantInForce(service, class string) *pb.Grant
	}

	// Applier stores pages.
	Applier interface {
		Apply(ctx context.Context, c applier.Change) *pb.ChangeOutcome
	}

	// Poster posts pages.
	Poster interface {
		Do(r *http.Request) (*http.Response, error)
	}

	// Config holds what a Pager needs.
	Config struct {
		NodeName  string
		Source    ConfigSource
		View      View
		Messenger Messenger
		Demand    Demand
		Grants    Grants
		Applier   Applier
		Poster    Poster
		Clock     quartz.Clock
		Logger    *slog.Logger
		Metrics   *metrics.Set
	}

	// Pager pages directors. It is safe for concurrent use.
	Pager struct {
		config Config
		// work counts the reports, posts and stores under way.
		work  sync.WaitGroup
		mutex sync.Mutex
		// classes has the state of each class by its name in keys.
		classes map[string]*classState
	}

	// classState is what a node knows of the page of one class.
	classState struct {
		// checks counts the checks in a row in which the class was short here.
		checks int
		// open is the page known to be open, with an empty id when there is none.
		open page
		// reports has the newest report of each node; only the paging node has any.
		reports map[string]datedReport
		// attempts counts the posts of the open page by this node.
		attempts uint32
		postAt   time.Time
		pause    time.Duration
		storeAt  time.Time
	}

	page struct {
		id       string
		openedAt time.Time
	}

	datedReport struct {
		report *pb.DemandReport
		at     time.Time
	}
)

// New returns a Pager without pages.
func New(c Config) *Pager {
	return &Pager{config: c, classes: map[string]*classState{}}
}

// Run checks every class once a second until the context ends.
func (p *Pager) Run(ctx context.Context) {
	ticker := p.config.Clock.NewTicker(checkPeriod)
	defer ticker.Stop()
	defer p.work.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.step(ctx)
		}
	}
}

// HandleReport takes the report of another node and names the open page.
func (p *Pager) HandleReport(from string, r *pb.DemandReport) *pb.DemandReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	class := p.config.Source.Index().Class(r.GetService(), r.GetClass())
	if class == nil {
		return &pb.DemandReply{}
	}
	s := p.stateLocked(class)
	s.reports[from] = datedReport{report: r, at: p.config.Clock.Now()}
	p.openLocked(class, s)
	return &pb.DemandReply{PageId: s.open.id, OpenedAtUnix: s.open.openedAt.Unix()}
}

// step reports every short class and pages for the classes that fall to this node.
func (p *Pager) step(ctx context.Context) {
	members := p.config.View.Members()
	for _, class := range p.config.Source.Index().Classes() {
		holder := ranker.First(ranker.Key{Name: "page/" + nameOf(class)}, members)
		if r := p.check(class); r != nil {
			p.report(ctx, class, holder, r)
		}
		if holder.GetName() == p.config.NodeName {
			p.page(ctx, class)
		}
	}
}

// check returns a report when the class is short here.
func (p *Pager) check(class *pb.Class) *pb.DemandReport {
	d := p.config.Demand.Demand(class.GetService(), class.GetName())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.stateLocked(class)
	if !d.Short() {
		s.checks = 0
		return nil
	}
	s.checks++
	if s.checks < shortChecks {
		return nil
	}
	p.settleLocked(class, s)
	r := &pb.DemandReport{
		Service: class.GetService(), Class: class.GetName(),
		Requests: d.Requests, Misses: d.Misses, InProgress: d.InProgress, PageId: s.open.id,
	}
	if s.open.id != "" {
		r.OpenedAtUnix = s.open.openedAt.Unix()
	}
	return r
}

// report takes the report to the paging node and learns the page's id from it.
func (p *Pager) report(ctx context.Context, class *pb.Class, holder *pb.Member, r *pb.DemandReport) {
	if holder == nil || holder.GetName() == p.config.NodeName {
		p.HandleReport(p.config.NodeName, r)
		return
	}
	p.work.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		frame := &pb.Frame{Body: &pb.Frame_DemandReport{DemandReport: r}}
		f, err := p.config.Messenger.Call(ctx, holder.GetPeerAddress(), messenger.PlaneControl, frame)
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
	name := nameOf(class)
	if p.classes[name] == nil {
		p.classes[name] = &classState{reports: map[string]datedReport{}}
	}
	return p.classes[name]
}

func nameOf(class *pb.Class) string {
	return keyer.ClassName(class.GetService(), class.GetName())
}
