package gossiper

import (
	"slices"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// maxAnnounced bounds the announced revisions that are kept of a kind.
const maxAnnounced = 64

type (
	// announcedRevisions are points that a node has not reached, in ascending order, at most maxAnnounced.
	announcedRevisions []announcedRevision

	// announcedRevision is a point and when a notice first announced it.
	announcedRevision struct {
		point replicator.Point
		at    time.Time
	}
)

// BehindSince returns when this node first learned of a revision of a kind that it still has not got. behind is false
// if it knows of none.
func (g *Gossiper) BehindSince(kind string) (since time.Time, behind bool) {
	reached := g.config.Replica.Position(kind).Point()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.announced[kind] {
		if reached.Before(a.point) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// recordAnnounced keeps the revisions of a notice that are above this node's, and drops those that it has reached.
func (g *Gossiper) recordAnnounced(n notice) {
	for _, p := range n.GetPositions() {
		reached := g.config.Replica.Position(p.GetKind()).Point()
		g.mutex.Lock()
		g.announced[p.GetKind()] = g.announced[p.GetKind()].after(reached).with(pointOf(p), reached, n.receivedAt)
		g.mutex.Unlock()
	}
}

// after returns the revisions above one that was reached.
func (r announcedRevisions) after(reached replicator.Point) announcedRevisions {
	return slices.DeleteFunc(r, func(a announcedRevision) bool { return !reached.Before(a.point) })
}

// with returns the revisions with a further one, unless it was reached or is not the newest. If there are too many, it
// takes the place of the newest one, with the time of that.
func (r announcedRevisions) with(point, reached replicator.Point, at time.Time) announcedRevisions {
	newest := reached
	if len(r) > 0 {
		newest = r[len(r)-1].point
	}
	switch {
	case !newest.Before(point):
	case len(r) == maxAnnounced:
		r[maxAnnounced-1].point = point
	default:
		r = append(r, announcedRevision{point, at})
	}
	return r
}

func pointOf(p *pb.DocumentPosition) replicator.Point {
	return replicator.Point{Era: p.GetEra(), Revision: p.GetRevision()}
}
