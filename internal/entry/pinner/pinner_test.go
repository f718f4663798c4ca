package pinner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/pinner"
	"github.com/magnoliastep/magnoliastep/internal/entry/scorer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

func layout(snapshot uint64, replicas ...int) *pinner.Layout {
	l := pinner.NewLayout(snapshot, uint32(len(replicas)))
	for p, n := range replicas {
		for r := range n {
			l.Add(uint32(p), scorer.New(&pb.Leaf{Name: fmt.Sprint(snapshot, p, r)}))
		}
	}
	return l
}

func TestPinChoosesLayout(t *testing.T) {
	tests := []struct {
		name     string
		layouts  []*pinner.Layout
		excluded []uint64
		want     uint64
	}{
		{"none", nil, nil, 0},
		{"newest of two complete", []*pinner.Layout{layout(5, 3, 3), layout(6, 3, 3)}, nil, 6},
		{"complete before newer", []*pinner.Layout{layout(5, 3, 3), layout(6, 3, 0)}, nil, 5},
		{"too few replicas hold the newer", []*pinner.Layout{layout(5, 3, 3), layout(6, 1, 1)}, nil, 5},
		{"enough replicas hold the newer", []*pinner.Layout{layout(5, 3, 3), layout(6, 2, 2)}, nil, 6},
		{"more partitions", []*pinner.Layout{layout(5, 3, 3), layout(6, 3, 3, 3)}, nil, 6},
		{"newest excluded", []*pinner.Layout{layout(5, 3, 3), layout(6, 3, 3)}, []uint64{6}, 5},
		{"no replica holds it", []*pinner.Layout{layout(6, 0, 0)}, nil, 0},
		{"best partial", []*pinner.Layout{layout(5, 1, 1, 0), layout(6, 3, 0, 0)}, nil, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := pinner.Pin(tt.layouts, tt.excluded...)
			if tt.want == 0 {
				is.True(got == nil)
				return
			}
			is.Equal(got.Snapshot(), tt.want)
		})
	}
}
