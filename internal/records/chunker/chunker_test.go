package chunker_test

import (
	"testing"

	"github.com/matryer/is"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/chunker"
)

func answer(revision int64) *pb.Documents {
	data := make([]byte, 64<<10)
	return &pb.Documents{Documents: []*pb.Document{{Kind: "config", Name: "main", Revision: revision, Data: data}}}
}

func TestSmallAnswerIsSentAsItIs(t *testing.T) {
	is := is.New(t)
	small := &pb.Documents{Documents: []*pb.Document{{Kind: "leaves", Name: "a", Revision: 1, Data: []byte("{}")}}}
	reply, err := chunker.New().Cut(small, 0, 0)
	is.NoErr(err)
	is.True(reply == small)
}

// Guards against memory for all answers ever cut: only the latest can be continued.
func TestOnlyLatestAnswersAreKept(t *testing.T) {
	is := is.New(t)
	c := chunker.New()
	var transfers []uint64
	for revision := range int64(10) {
		chunk, err := c.Cut(answer(revision), 0, 0)
		is.NoErr(err)
		is.Equal(uint64(len(chunk.GetChunk())), chunk.GetSize()) // zeros are compressed to one chunk
		transfers = append(transfers, chunk.GetTransfer())
	}
	is.True(c.Continue(transfers[0], 0) == nil)
	is.True(c.Continue(transfers[9], 0) != nil)
	is.True(c.Continue(transfers[9], 1<<30) == nil) // beyond its end
}
