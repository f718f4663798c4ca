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
	// batchRecords is how many records are added at once before the least of them are dropped.
	batchRecords = 1024
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
	for len(body) >= RecordBytes {
		n := min(len(body)/RecordBytes, batchRecords) * RecordBytes
		m.addBatch(body[:n])
		body = body[n:]
	}
}

// addBatch adds whole records. Those that are not greater than limit others are skipped.
func (m *Merger) addBatch(body []byte) {
	if m.limit <= 0 {
		return
	}
	var least []byte
	if len(m.records) == m.limit {
		least = m.records[m.limit-1]
	}
	before := len(m.records)
	for ; len(body) > 0; body = body[RecordBytes:] {
		if r := body[:RecordBytes:RecordBytes]; least == nil || bytes.Compare(r, least) > 0 {
			m.records = append(m.records, r)
		}
	}
	if len(m.records) == before {
		return
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
