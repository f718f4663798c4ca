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

// pageClass runs on the paging node of the class: it posts and stores the open page when the next post or store is
// due.
func (p *Pager) pageClass(ctx context.Context, class *pb.Class) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.stateLocked(class)
	p.openPageLocked(class, s)
	if s.openPage.id == "" {
		return
	}
	now := p.config.Clock.Now()
	if !now.Before(s.nextPostAt) {
		s.attempts++
		s.postInterval = min(maxPostInterval, max(initialPostInterval, 2*s.postInterval))
		s.nextPostAt = now.Add(s.postInterval)
		p.postToDirectors(ctx, class, s.notice(p.config.NodeName, class, now))
	}
	if !now.Before(s.nextStoreAt) {
		s.nextStoreAt = now.Add(storeInterval)
		p.storePage(ctx, class, s.openPage)
	}
}

// openPageLocked opens a page if there are recent reports and no grant or quiet period suppresses paging. It adopts a
// page that a report names as open.
func (p *Pager) openPageLocked(class *pb.Class, s *classState) {
	if p.applyConfigLocked(class, s) || s.openPage.id != "" {
		return
	}
	now := p.config.Clock.Now()
	hasRecentReport := false
	for from, r := range s.reports {
		if now.Sub(r.receivedAt) > reportLifetime {
			delete(s.reports, from)
			continue
		}
		hasRecentReport = true
		if r.report.GetPageId() != "" && !p.isAnswered(class, r.report.GetPageId()) {
			s.adopt(page{id: r.report.GetPageId(), openedAt: time.Unix(r.report.GetOpenedAtUnix(), 0)})
		}
	}
	if !hasRecentReport || s.openPage.id != "" {
		return
	}
	openedAt := now.Truncate(pageIDBucket)
	s.adopt(page{id: fmt.Sprintf("%s.%d", className(class), openedAt.Unix()), openedAt: openedAt})
	p.config.Logger.Warn("page opened", "page_id", s.openPage.id, "service", class.GetService(), "class", class.GetName())
}

// applyConfigLocked updates the state of the class from the stored page and grant. It returns true if no page may be
// opened: a grant is in force, or a director declined and the quiet period has not ended.
func (p *Pager) applyConfigLocked(class *pb.Class, s *classState) bool {
	stored := p.config.Source.Index().Page(class.GetService(), class.GetName())
	if p.config.Grants.GrantInForce(class.GetService(), class.GetName()) != nil {
		s.closePage()
		return true
	}
	switch {
	case stored == nil:
		return false
	case !stored.GetAnswered():
		s.adopt(page{id: stored.GetPageId(), openedAt: stored.GetOpenedAt().AsTime()})
		return false
	case stored.GetPageId() == s.openPage.id:
		s.closePage()
	}
	quietUntil := stored.GetAnsweredAt().AsTime().Add(stored.GetQuietFor().AsDuration())
	return p.config.Clock.Now().Before(quietUntil)
}

func (p *Pager) isAnswered(class *pb.Class, id string) bool {
	stored := p.config.Source.Index().Page(class.GetService(), class.GetName())
	return stored.GetAnswered() && stored.GetPageId() == id
}

// adopt makes the candidate the open page, unless the open page is at least as old. So nodes that opened different
// pages agree on the oldest.
func (s *classState) adopt(candidate page) {
	if s.openPage.id == candidate.id || (s.openPage.id != "" && !candidate.openedAt.Before(s.openPage.openedAt)) {
		return
	}
	if s.openPage.id == "" {
		s.attempts, s.postInterval, s.nextPostAt, s.nextStoreAt = 0, 0, time.Time{}, time.Time{}
	}
	s.openPage = candidate
}

func (s *classState) closePage() {
	s.openPage = page{}
	s.reports = map[string]receivedReport{}
}

// notice returns the body of the next post, with the sums of the recent reports.
func (s *classState) notice(node string, class *pb.Class, now time.Time) *pb.PageNotice {
	n := &pb.PageNotice{
		PageId: s.openPage.id, Service: class.GetService(), Class: class.GetName(), Node: node,
		OpenedAt: timestamppb.New(s.openPage.openedAt), Attempt: s.attempts,
	}
	for _, r := range s.reports {
		if now.Sub(r.receivedAt) <= reportLifetime {
			n.Requests += r.report.GetRequests()
			n.Misses += r.report.GetMisses()
			n.InProgress += r.report.GetInProgress()
		}
	}
	return n
}

// storePage stores the page in the platform unless the configuration already has it. If the stored page was changed
// in the meantime, the write fails with a version conflict and the stored page stays.
func (p *Pager) storePage(ctx context.Context, class *pb.Class, opened page) {
	o := &pb.ConfigObject{Spec: &pb.ConfigObject_Page{Page: &pb.Page{
		PageId: opened.id, Service: class.GetService(), Class: class.GetName(), OpenedAt: timestamppb.New(opened.openedAt),
	}}}
	version := p.config.Source.Versions()[keyer.Of(o)]
	if p.config.Source.Index().Page(class.GetService(), class.GetName()).GetPageId() == opened.id {
		return
	}
	p.tasks.Go(func() {
		outcome := p.config.Applier.Apply(ctx, applier.Change{
			ID: opened.id, Actor: p.config.NodeName, Reason: "class misses its floor", ExpectedVersion: version,
			Object: o, Summary: "open " + keyer.Of(o),
		})
		p.config.Logger.Info("page stored", "page_id", opened.id, "code", int(outcome.GetCode()))
	})
}
