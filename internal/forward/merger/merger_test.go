package merger_test

import (
	"bytes"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/merger"
)

func TestMergerKeepsGreatestRecordsOfAllParts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var all [][]byte
	m := merger.New(7)
	for range 5 {
		var part []byte
		for range random.IntN(6) {
			record := make([]byte, merger.RecordBytes)
			for i := range record {
				record[i] = byte(random.IntN(3)) // few values, so that equal records and long common prefixes occur
			}
			all = append(all, record)
			part = append(part, record...)
		}
		m.Add(append(part, 1, 2, 3)) // an incomplete record
	}
	sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
	is.Equal(m.Body(), bytes.Join(all[:7], nil))
}

// Guards against a large part that takes a multiple of its size while it is merged.
func TestLargePartIsMergedInLittleMemory(t *testing.T) {
	const (
		records         = 256 << 10
		limit           = 100
		allocationLimit = 1 << 20
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	body, all := make([]byte, records*merger.RecordBytes), make([][]byte, records)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	for i := range all {
		all[i] = body[i*merger.RecordBytes : (i+1)*merger.RecordBytes]
	}
	m := merger.New(limit)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	m.Add(body)
	merged := m.Body()
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < allocationLimit)
	sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
	is.Equal(merged, bytes.Join(all[:limit], nil))
}

func TestFewerRecordsThanLimit(t *testing.T) {
	is := is.New(t)
	m := merger.New(3)
	m.Add(nil)
	m.Add(bytes.Repeat([]byte{9}, merger.RecordBytes))
	m.Add(bytes.Repeat([]byte{9}, merger.RecordBytes)) // duplicates are kept
	is.Equal(m.Body(), bytes.Repeat([]byte{9}, 2*merger.RecordBytes))
	is.Equal(len(merger.New(3).Body()), 0)
}
