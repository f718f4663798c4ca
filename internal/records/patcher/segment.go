package patcher

import (
	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// A segment has minSegmentBytes to maxSegmentBytes, except the last, which may be shorter.
	minSegmentBytes = 64
	maxSegmentBytes = 1024
	// boundaryMask selects the bits of the rolling hash that are zero at a boundary: one position in 128.
	boundaryMask = 0x7f << 57
	// byteFactor spreads the value of a byte over the rolling hash.
	byteFactor = 0x9e3779b97f4a7c15
)

// segment is a range of a document.
type segment struct {
	hash   uint64
	offset uint32
	length uint32
}

// split divides data into segments. The rolling hash of the last 64 bytes determines the boundaries.
func split(data []byte) []segment {
	segments := make([]segment, 0, 2*len(data)/maxSegmentBytes+1)
	start := 0
	rolling := uint64(0)
	for i, b := range data {
		rolling = rolling<<1 + (uint64(b)+1)*byteFactor
		length := i + 1 - start
		if length < minSegmentBytes || (rolling&boundaryMask != 0 && length < maxSegmentBytes) {
			continue
		}
		segments = append(segments, newSegment(data, start, i+1))
		start = i + 1
	}
	if start < len(data) {
		segments = append(segments, newSegment(data, start, len(data)))
	}
	return segments
}

func newSegment(data []byte, start, end int) segment {
	return segment{hash: xxhash.Sum64(data[start:end]), offset: uint32(start), length: uint32(end - start)}
}

// compare returns the segments of a patch that makes data, which has the segments target, from a base.
func compare(base, target []segment, data []byte) []*pb.PatchSegment {
	known := make(map[uint64]segment, len(base))
	for _, s := range base {
		known[s.hash] = s
	}
	var patch []*pb.PatchSegment
	for _, s := range target {
		var last *pb.PatchSegment
		if len(patch) > 0 {
			last = patch[len(patch)-1]
		}
		b, found := known[s.hash]
		switch {
		case found && b.length == s.length && last.GetLength() > 0 && last.GetOffset()+last.GetLength() == uint64(b.offset):
			last.Length += uint64(b.length)
		case found && b.length == s.length:
			patch = append(patch, &pb.PatchSegment{Offset: uint64(b.offset), Length: uint64(b.length)})
		case last != nil && last.GetLength() == 0:
			last.Literal = append(last.Literal, data[s.offset:s.offset+s.length]...)
		default:
			literal := append([]byte(nil), data[s.offset:s.offset+s.length]...)
			patch = append(patch, &pb.PatchSegment{Literal: literal})
		}
	}
	return patch
}
