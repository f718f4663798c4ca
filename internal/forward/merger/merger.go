// Package merger selects the greatest records from the parts of an answer. The body of a part is an unsorted sequence
// of records of a fixed size; the result has the greatest records of all parts in descending order. Records are
// compared byte by byte, and duplicates are kept.
package merger

import (
	"bytes"
	"sort"
)

const (
	// RecordBytes is the size of a record. An incomplete record at the end of a part is ignored.
	RecordBytes = 16
)

type (
	// Merger holds the greatest records so far. It is not safe for concurrent use.
	Merger struct {
		limit int
		// records is sorted in descending order and has at most limit entries.
		records [][]byte
	}
)

// New returns a Merger that keeps up to limit records.
func New(limit int) *Merger {
	return &Merger{limit: limit}
}

// Add adds the records of one part. The body must not be changed afterwards.
func (m *Merger) Add(body []byte) {
	for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
		m.records = append(m.records, body[:RecordBytes:RecordBytes])
	}
	sort.Slice(m.records, func(i, j int) bool { return bytes.Compare(m.records[i], m.records[j]) > 0 })
	if len(m.records) > m.limit {
		m.records = m.records[:m.limit]
	}
}

// Body returns the greatest records in descending order.
func (m *Merger) Body() []byte {
	body := make([]byte, 0, len(m.records)*RecordBytes)
	for _, r := range m.records {
		body = append(body, r...)
	}
	return body
}
