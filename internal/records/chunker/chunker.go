// Package chunker compresses large answers and cuts them into chunks. A node requests one chunk after the other, so
// that the bytes under way to it stay few, other frames pass between the chunks, and a transfer that was interrupted
// can continue, also at another node that would send the same answer.
package chunker

import (
	"bytes"
	"compress/flate"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// chunkBytes is the size of a chunk: 13 ms on a link of 20 Mb/s.
	chunkBytes = 32 << 10
	// maxPlainBytes is the size up to which an answer is sent as it is.
	maxPlainBytes = 4 << 10
	// maxTransfers is the number of compressed answers that are kept for the pulls of their further chunks.
	maxTransfers = 4
)

type (
	// Chunker holds the latest large answers. It is safe for concurrent use.
	Chunker struct {
		// compressing is held while an answer is compressed, so that pulls of the same answer compress it once.
		compressing sync.Mutex
		mutex       sync.Mutex
		// transfers are in the order of their last use, at most maxTransfers.
		transfers []transfer
	}

	transfer struct {
		// id is the hash of the compressed answer.
		id uint64
		// content is the hash of the answer before compression.
		content    uint64
		compressed []byte
	}
)

// New returns a Chunker without answers.
func New() *Chunker {
	return &Chunker{}
}

// Continue returns the chunk at an offset of an answer that was cut before, or nil if it is no longer kept.
func (c *Chunker) Continue(id, offset uint64) *pb.Documents {
	t, found := c.find(func(t transfer) bool { return t.id == id })
	if !found || offset >= uint64(len(t.compressed)) {
		return nil
	}
	return t.chunk(offset)
}

// Cut returns an answer as it is if it is small. Otherwise it returns the chunk from the offset on, if the receiver has
// the bytes before the offset of this very answer, or else the first chunk.
func (c *Chunker) Cut(answer *pb.Documents, id, offset uint64) (*pb.Documents, error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(answer)
	if err != nil {
		return nil, errors.Wrap(err, "encode documents")
	}
	if len(plain) <= maxPlainBytes {
		return answer, nil
	}
	t, err := c.transferOf(plain)
	if err != nil {
		return nil, err
	}
	if t.id != id || offset >= uint64(len(t.compressed)) {
		offset = 0
	}
	return t.chunk(offset), nil
}

// transferOf returns the transfer of an answer, which it compresses if it is not kept.
func (c *Chunker) transferOf(plain []byte) (transfer, error) {
	c.compressing.Lock()
	defer c.compressing.Unlock()
	content := xxhash.Sum64(plain)
	if t, found := c.find(func(t transfer) bool { return t.content == content }); found {
		return t, nil
	}
	compressed, err := compress(plain)
	if err != nil {
		return transfer{}, err
	}
	t := transfer{id: xxhash.Sum64(compressed), content: content, compressed: compressed}
	c.keep(t)
	return t, nil
}

// find returns the first transfer with a property and marks it as used.
func (c *Chunker) find(matches func(transfer) bool) (transfer, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	i := slices.IndexFunc(c.transfers, matches)
	if i < 0 {
		return transfer{}, false
	}
	t := c.transfers[i]
	c.transfers = append(slices.Delete(c.transfers, i, i+1), t)
	return t, true
}

func (c *Chunker) keep(t transfer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.transfers = append(c.transfers, t)
	if len(c.transfers) > maxTransfers {
		c.transfers = slices.Delete(c.transfers, 0, 1)
	}
}

func (t transfer) chunk(offset uint64) *pb.Documents {
	size := uint64(len(t.compressed))
	return &pb.Documents{
		Chunk: t.compressed[offset:min(offset+chunkBytes, size)], Transfer: t.id, Offset: offset, Size: size,
	}
}

func compress(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress documents")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress documents")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress documents")
	}
	return b.Bytes(), nil
}
