package merger_test

import (
	"bytes"
	"math/rand/v2"
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

func TestFewerRecordsThanLimit(t *testing.T) {
	is := is.New(t)
	m := merger.New(3)
	m.Add(nil)
	m.Add(bytes.Repeat([]byte{9}, merger.RecordBytes))
	m.Add(bytes.Repeat([]byte{9}, merger.RecordBytes)) // duplicates are kept
	is.Equal(m.Body(), bytes.Repeat([]byte{9}, 2*merger.RecordBytes))
	is.Equal(len(merger.New(3).Body()), 0)
}
