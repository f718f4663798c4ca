// Package merger selects the greatest records of many parts. The bodies of the parts flow in, each a run of
// records of a fixed size in no order; the greatest records of all parts flow out, greatest first. Records
// are compared byte by byte, and equal records all count.
package merger

import (
	"bytes"
	"sort"
)

const (
	// RecordBytes is the size of a record. A shorter rest at the end of a part is no record.
	RecordBytes = 16
)

type (
	// Merger holds the greatest records so far. It is not safe for concurrent use.
	Merger struct {
		limit int
		// records is sorted, greatest first, and has at most limit entries.
		records [][]byte
	}
)

// New returns a Merger that keeps up to limit records.
func New(limit int) *Merger {
	return &Merger{limit: limit}
}

// Add takes the records of one part. The body must not be changed afterwards.
func (m *Merger) Add(body []byte) {
	for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
		m.records = append(m.records, body[:RecordBytes:RecordBytes])
	}
	sort.Slice(m.records, func(i, j int) bool { return bytes.Compare(m.records[i], m.records[j]) > 0 })
	if len(m.records) > m.limit {
		m.records = m.records[:m.limit]
	}
}

// Body returns the greatest records, greatest first.
func (m *Merger) Body() []byte {
	body := make([]byte, 0, len(m.records)*RecordBytes)
	for _, r := range m.records {
		body = append(body, r...)
	}
	return body
}
