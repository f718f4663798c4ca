package joiner_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/records/chunker"
	"github.com/magnoliastep/magnoliastep/internal/records/joiner"
)

// answer returns an answer of several chunks.
func answer(seed uint64) *pb.Documents {
	random, data := rand.New(rand.NewPCG(seed, 1)), make([]byte, 200<<10)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return &pb.Documents{Documents: []*pb.Document{{Kind: "config", Name: "main", Revision: 7, Data: data}}}
}

func cut(is *is.I, c *chunker.Chunker, a *pb.Documents, j *joiner.Joiner) *pb.Documents {
	transfer, offset := j.Next()
	chunk, err := c.Cut(a, transfer, offset)
	is.NoErr(err)
	return chunk
}

// Guards against a transfer that starts again when the node that sent its first chunks is lost.
func TestTransferContinuesAtAnotherNode(t *testing.T) {
	is := is.New(t)
	first, second, a := chunker.New(), chunker.New(), answer(1)
	var j joiner.Joiner
	chunks := 0
	for sender := first; ; sender = second {
		chunks++
		joined, complete, err := j.Add(cut(is, sender, a, &j))
		is.NoErr(err)
		if complete {
			is.True(proto.Equal(joined, a))
			break
		}
	}
	is.Equal(chunks, 7) // 200 KiB in chunks of 32 KiB
}

// Guards against an answer made of chunks of two answers, when the sender's documents change between two chunks.
func TestTransferRestartsWhenAnswerChanges(t *testing.T) {
	is := is.New(t)
	c := chunker.New()
	var j joiner.Joiner
	for _, a := range []*pb.Documents{answer(1), answer(2)} {
		_, complete, err := j.Add(cut(is, c, a, &j))
		is.NoErr(err)
		is.True(!complete)
	}
	for {
		joined, complete, err := j.Add(cut(is, c, answer(2), &j))
		is.NoErr(err)
		if complete {
			is.True(proto.Equal(joined, answer(2)))
			return
		}
	}
}

// Guards against chunks that do not fit, are damaged or announce more than the bound.
func TestUnusableChunksAreRefused(t *testing.T) {
	is := is.New(t)
	for name, m := range map[string]*pb.Documents{
		"offset":       {Chunk: []byte("x"), Transfer: 1, Offset: 5, Size: 10},
		"empty":        {Transfer: 1, Size: 10},
		"beyond size":  {Chunk: []byte("xxx"), Transfer: 1, Size: 2},
		"large":        {Chunk: []byte("x"), Transfer: 1, Size: 1 << 40},
		"wrong digest": {Chunk: []byte("x"), Transfer: 1, Size: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var j joiner.Joiner
			_, complete, err := j.Add(m)
			is.True(err != nil)
			is.True(!complete)
			transfer, offset := j.Next()
			is.Equal(transfer+offset, uint64(0))
		})
	}
}

// Guards against a small answer that becomes larger than the memory of the node when it is decompressed.
func TestAnswerThatDecompressesWithoutEndIsRefused(t *testing.T) {
	is := is.New(t)
	zeros := &pb.Documents{Documents: []*pb.Document{{Kind: "config", Name: "main", Data: make([]byte, 17<<20)}}}
	c := chunker.New()
	var j joiner.Joiner
	for {
		_, complete, err := j.Add(cut(is, c, zeros, &j))
		is.True(!complete)
		if err != nil {
			return
		}
	}
}
