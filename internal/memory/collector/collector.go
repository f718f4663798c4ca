// Package collector reads messages whose length is not known before, in few and bounded allocations: a buffer that is
// full is replaced by one of four times its size, the last one by one of exactly the size that is allowed.
package collector

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// growthFactor is how many times the size of a buffer the next one has.
	growthFactor = 4
	// firstBufferBytes has room for a small message.
	firstBufferBytes = 1536
	// smallBufferBytes is the size up to which a buffer may have more than a quarter of the size of the next one.
	smallBufferBytes = 8 << 10
)

type (
	// Config holds what a Collector needs.
	Config struct {
		// Source is read by the Collector.
		Source io.Reader
	}

	// Collector holds what has been read of one message. It is not safe for concurrent use.
	Collector struct {
		source io.Reader
		buffer []byte
	}
)

// New returns a Collector that has read nothing.
func New(c Config) *Collector {
	return &Collector{source: c.Source}
}

// Room returns how many bytes a Collector holds at most while it reads a message of up to limit bytes. The buffer that
// is being replaced is included.
func Room(limit int64) int64 {
	return limit + max(smallBufferBytes, limit/growthFactor)
}

// Bytes returns what has been read.
func (c *Collector) Bytes() []byte { return c.buffer }

// Collect reads on until the message ends, and reports whether it has. It has not when limit bytes or more have been
// read; Collect can be called again with a higher limit then.
func (c *Collector) Collect(limit int64) (bool, error) {
	for int64(len(c.buffer)) < limit {
		if len(c.buffer) == cap(c.buffer) {
			c.grow(limit)
		}
		end := min(int64(cap(c.buffer)), limit)
		n, err := c.source.Read(c.buffer[len(c.buffer):end])
		c.buffer = c.buffer[:len(c.buffer)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

func (c *Collector) grow(limit int64) {
	size := min(limit, max(firstBufferBytes, growthFactor*int64(cap(c.buffer))))
	if size > max(smallBufferBytes, limit/growthFactor) {
		size = limit // so that the buffer before has at most a quarter of its size
	}
	grown := make([]byte, len(c.buffer), size)
	copy(grown, c.buffer)
	c.buffer = grown
}

// Ended reports whether the message ends here. It reads at most one byte.
func (c *Collector) Ended() (bool, error) {
	var next [1]byte
	_, err := io.ReadFull(c.source, next[:])
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}
