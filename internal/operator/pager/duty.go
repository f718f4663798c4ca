package pager

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/operator/applier"
)

// page does the paging node's duty for one class: it posts and stores the open page when it is time.
func (p *Pager) page(ctx context.Context, class *pb.Class) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.stateLocked(class)
	p.openLocked(class, s)
	if s.open.id == "" {
		return
	}
	now := p.config.Clock.Now()
	if !now.Before(s.postAt) {
		s.attempts++
		s.pause = min(maxPostPause, max(firstPostPause, 2*s.pause))
		s.postAt = now.Add(s.pause)
		p.postAll(ctx, class, s.notice(p.config.NodeName, class, now))
	}
	if !now.Before(s.storeAt) {
		s.storeAt = now.Add(storePause)
		p.store(ctx, class, s.open)
	}
}

// openLocked opens a page when fresh reports ask for one and nothing speaks against it.
func (p *Pager) openLocked(class *pb.Class, s *classState) {
	if p.settleLocked(class, s) || s.open.id != "" {
		return
	}
	now := p.config.Clock.Now()
	fresh := false
	for from, r := range s.reports {
		if now.Sub(r.at) > reportKeepFor {
			delete(s.reports, from)
			continue
		}
		fresh = true
		if r.report.GetPageId() != "" && !p.isAnswered(class, r.report.GetPageId()) {
			s.adopt(page{id: r.report.GetPageId(), openedAt: time.Unix(r.report.GetOpenedAtUnix(), 0)})
		}
	}
	if !fresh || s.open.id != "" {
		return
	}
	openedAt := now.Truncate(pageBucket)
	s.adopt(page{id: fmt.Sprintf("%s.%d", nameOf(class), openedAt.Unix()), openedAt: openedAt})
	p.config.Logger.Warn("page opened", "page_id", s.open.id, "service", class.GetService(), "class", class.GetName())
}

// settleLocked takes what the configuration says of the class's page. It returns true when there is
// nothing to page: a grant is in force, or a director said no a short time ago.
func (p *Pager) settleLocked(class *pb.Class, s *classState) bool {
	stored := p.config.Source.Index().Page(class.GetService(), class.GetName())
	if p.config.Grants.GrantInForce(class.GetService(), class.GetName()) != nil {
		s.close()
		return true
	}
	switch {
	case stored == nil:
		return false
	case !stored.GetAnswered():
		s.adopt(page{id: stored.GetPageId(), openedAt: stored.GetOpenedAt().AsTime()})
		return false
	case stored.GetPageId() == s.open.id:
		s.close()
	}
	quietUntil := stored.GetAnsweredAt().AsTime().Add(stored.GetQuietFor().AsDuration())
	return p.config.Clock.Now().Before(quietUntil)
}

func (p *Pager) isAnswered(class *pb.Class, id string) bool {
	stored := p.config.Source.Index().Page(class.GetService(), class.GetName())
	return stored.GetAnswered() && stored.GetPageId() == id
}

// adopt makes the page the open one, unless another page that is at least as old is open.
func (s *classState) adopt(g page) {
	if s.open.id == g.id || (s.open.id != "" && !g.openedAt.Before(s.open.openedAt)) {
		return
	}
	if s.open.id == "" {
		s.attempts, s.pause, s.postAt, s.storeAt = 0, 0, time.Time{}, time.Time{}
	}
	s.open = g
}

func (s *classState) close() {
	s.open = page{}
	s.reports = map[string]datedReport{}
}

func (s *classState) notice(node string, class *pb.Class, now time.Time) *pb.PageNotice {
	n := &pb.PageNotice{
		PageId: s.open.id, Service: class.GetService(), Class: class.GetName(), Node: node,
		OpenedAt: timestamppb.New(s.open.openedAt), Attempt: s.attempts,
	}
	for _, r := range s.reports {
		if now.Sub(r.at) <= reportKeepFor {
			n.Requests += r.report.GetRequests()
			n.Misses += r.report.GetMisses()
			n.InProgress += r.report.GetInProgress()
		}
	}
	return n
}

// store keeps the page in the platform, unless it is there already. A page that was changed meanwhile is
// a conflict and is left as it is.
func (p *Pager) store(ctx context.Context, class *pb.Class, g page) {
	o := &pb.ConfigObject{Spec: &pb.ConfigObject_Page{Page: &pb.Page{
		PageId: g.id, Service: class.GetService(), Class: class.GetName(), OpenedAt: timestamppb.New(g.openedAt),
	}}}
	version := p.config.Source.Versions()[keyer.Of(o)]
	if p.config.Source.Index().Page(class.GetService(), class.GetName()).GetPageId() == g.id {
		return
	}
	p.work.Go(func() {
		outcome := p.config.Applier.Apply(ctx, applier.Change{
			ID: g.id, Actor: p.config.NodeName, Reason: "class misses its floor", ExpectedVersion: version,
			Object: o, Summary: "open " + keyer.Of(o),
		})
		p.config.Logger.Info("page stored", "page_id", g.id, "code", int(outcome.GetCode()))
	})
}
