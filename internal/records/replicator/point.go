package replicator

import "bytes"

// Point is a revision of the store and the era in which the store gave it out. A store that is restored from a copy
// begins a new era, in which it gives out revisions again.
type Point struct {
	// Era is 0 if the store states none.
	Era int64
	// Revision is 0 before the first one.
	Revision int64
}

// Before reports whether a point is older than another.
func (p Point) Before(other Point) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// latest returns the later of two points.
func (p Point) latest(other Point) Point {
	if p.Before(other) {
		return other
	}
	return p
}

// Point returns the point as of which the documents are known.
func (p Position) Point() Point {
	return Point{Era: p.Era, Revision: p.Revision}
}

// Point returns the point of the document's last change, or of the list that had it unchanged in a new era.
func (d Document) Point() Point {
	return Point{Era: d.Era, Revision: d.Revision}
}

// equals reports whether two states of a document have the same content.
func (d Document) equals(other Document) bool {
	return d.Deleted == other.Deleted && bytes.Equal(d.Data, other.Data)
}
