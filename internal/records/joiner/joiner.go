// Package joiner puts together an answer that arrives in chunks.
package joiner

import (
	"bytes"
	"compress/flate"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/memory/collector"
)

const (
	// maxCompressedBytes and maxPlainBytes bound an answer before and after decompression.
	maxCompressedBytes = 4 << 20
	maxPlainBytes      = 16 << 20
)

// Joiner holds the chunks of one answer. The zero value has none. It is not safe for concurrent use.
type Joiner struct {
	transfer uint64
	// received are the first bytes of the answer whose digest is transfer.
	received []byte
}

// Next returns the transfer to continue and the offset of the chunk that is missing next; both are 0 without chunks.
func (j *Joiner) Next() (transfer, offset uint64) {
	return j.transfer, uint64(len(j.received))
}

// Add adds a chunk. It returns the answer and true once that is complete. A chunk of another answer replaces what
// was received so far; it must be the first one. After an error the Joiner has no chunks.
func (j *Joiner) Add(m *pb.Documents) (answer *pb.Documents, complete bool, err error) {
	if m.GetSize() == 0 {
		*j = Joiner{}
		return m, true, nil
	}
	if m.GetTransfer() != j.transfer {
		*j = Joiner{transfer: m.GetTransfer()}
	}
	if m.GetOffset() != uint64(len(j.received)) || len(m.GetChunk()) == 0 || m.GetSize() > maxCompressedBytes ||
		m.GetOffset()+uint64(len(m.GetChunk())) > m.GetSize() {
		*j = Joiner{}
		return nil, false, errors.Newf("joiner: chunk of %d bytes at %d of %d does not fit",
			len(m.GetChunk()), m.GetOffset(), m.GetSize())
	}
	j.received = append(j.received, m.GetChunk()...)
	if uint64(len(j.received)) < m.GetSize() {
		return nil, false, nil
	}
	received, transfer := j.received, j.transfer
	*j = Joiner{}
	if xxhash.Sum64(received) != transfer {
		return nil, false, errors.New("joiner: answer has another digest")
	}
	plain, err := decompress(received)
	if err != nil {
		return nil, false, err
	}
	answer = &pb.Documents{}
	if err := proto.Unmarshal(plain, answer); err != nil {
		return nil, false, errors.Wrap(err, "decode documents")
	}
	return answer, true, nil
}

func decompress(received []byte) ([]byte, error) {
	plain := collector.New(collector.Config{Source: flate.NewReader(bytes.NewReader(received))})
	complete, err := plain.Collect(maxPlainBytes)
	if err == nil && !complete {
		err = errors.Newf("more than %d bytes", maxPlainBytes)
	}
	return plain.Bytes(), errors.Wrap(err, "decompress documents")
}
