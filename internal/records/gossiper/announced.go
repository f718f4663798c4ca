package gossiper

import (
	"slices"
	"time"
)

// maxAnnounced bounds the announced revisions that are kept of a kind.
const maxAnnounced = 64

type (
	// announcedRevisions are revisions that a node has not got, in ascending order, at most maxAnnounced.
	announcedRevisions []announcedRevision

	// announcedRevision is a revision and when a notice first announced it.
	announcedRevision struct {
		revision int64
		at       time.Time
	}
)

// BehindSince returns when this node first learned of a revision of a kind that it still has not got. behind is false
// if it knows of none.
func (g *Gossiper) BehindSince(kind string) (since time.Time, behind bool) {
	reached := g.config.Replica.Position(kind).Revision
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.announced[kind] {
		if a.revision > reached {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// recordAnnounced keeps the revisions of a notice that are above this node's, and drops those that it has reached.
func (g *Gossiper) recordAnnounced(n notice) {
	for _, p := range n.GetPositions() {
		reached := g.config.Replica.Position(p.GetKind()).Revision
		g.mutex.Lock()
		g.announced[p.GetKind()] = g.announced[p.GetKind()].after(reached).with(p.GetRevision(), reached, n.receivedAt)
		g.mutex.Unlock()
	}
}

// after returns the revisions above one that was reached.
func (r announcedRevisions) after(reached int64) announcedRevisions {
	return slices.DeleteFunc(r, func(a announcedRevision) bool { return a.revision <= reached })
}

// with returns the revisions with a further one, unless it was reached or is not the newest. If there are too many, it
// takes the place of the newest one, with the time of that.
func (r announcedRevisions) with(revision, reached int64, at time.Time) announcedRevisions {
	newest := reached
	if len(r) > 0 {
		newest = r[len(r)-1].revision
	}
	switch {
	case revision <= newest:
	case len(r) == maxAnnounced:
		r[maxAnnounced-1].revision = revision
	default:
		r = append(r, announcedRevision{revision, at})
	}
	return r
}
