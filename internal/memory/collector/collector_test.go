package collector_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/memory/collector"
)

func TestCollectorReadsMessagesOfAllLengthsWithinRoom(t *testing.T) {
	const small = 16 << 10
	for _, limit := range []int64{1, 100, small, 100 << 10, 5_750_000} {
		for _, length := range []int64{0, 1, limit - 1, limit, limit + 1, limit / 2} {
			is := is.New(t)
			message := bytes.Repeat([]byte("0123456789abcdef-"), int(length)/17+1)[:length]
			c := collector.New(collector.Config{Source: bytes.NewReader(message)})
			complete, err := c.Collect(min(small, limit))
			is.NoErr(err)
			if !complete {
				complete, err = c.Collect(limit)
				is.NoErr(err)
			}
			if !complete {
				complete, err = c.Ended()
				is.NoErr(err)
			}
			is.Equal(complete, length <= limit)
			is.True(int64(cap(c.Bytes())) <= limit)
			if complete {
				is.True(bytes.Equal(c.Bytes(), message))
			}
		}
	}
}

// bufferRecorder is a source without end that records the sizes of the buffers into which it is read.
type bufferRecorder struct {
	read  int64
	sizes []int64
}

func (r *bufferRecorder) Read(p []byte) (int, error) {
	size := r.read + int64(cap(p))
	if len(r.sizes) == 0 || r.sizes[len(r.sizes)-1] != size {
		r.sizes = append(r.sizes, size)
	}
	r.read += int64(len(p))
	return len(p), nil
}

// Guards against a buffer that is replaced while it is so large that both together take more than was reserved.
func TestBuffersTakeNoMoreThanRoom(t *testing.T) {
	const small = 16 << 10
	is := is.New(t)
	for _, limit := range []int64{small, 100 << 10, 1 << 20, 5_750_000, 8 << 20} {
		r := &bufferRecorder{}
		c := collector.New(collector.Config{Source: r})
		for _, l := range []int64{small, limit} {
			complete, err := c.Collect(l)
			is.NoErr(err)
			is.True(!complete)
		}
		is.Equal(r.sizes[len(r.sizes)-1], limit)
		for i := 1; i < len(r.sizes); i++ {
			is.True(r.sizes[i-1]+r.sizes[i] <= collector.Room(limit))
		}
	}
}

func TestErrorEndsMessage(t *testing.T) {
	is := is.New(t)
	broken := errors.New("broken")
	c := collector.New(collector.Config{Source: io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(broken))})
	complete, err := c.Collect(100)
	is.True(!complete)
	is.True(errors.Is(err, broken))
}
