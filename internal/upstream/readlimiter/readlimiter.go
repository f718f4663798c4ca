// Package readlimiter limits how many bytes are read from a connection. A peer that sends bytes without end then costs
// neither memory nor time: the read fails as soon as more has arrived than a valid message may have.
package readlimiter

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrLimit is returned by a read beyond the limit.
var ErrLimit = errors.New("peer sent more bytes than allowed")

type (
	// Config holds what a Limiter needs.
	Config struct {
		// Source is read by the Limiter.
		Source io.Reader
	}

	// Limiter is a reader with a limit. It allows no read until Allow is called. It is not safe for concurrent use.
	Limiter struct {
		source io.Reader
		// left is how many more bytes may be read, at least 0.
		left int64
		// exceeded is set when a read has failed since the last call of Allow.
		exceeded bool
		// total is the number of bytes that have been read.
		total int64
	}
)

// New returns a Limiter.
func New(c Config) *Limiter {
	return &Limiter{source: c.Source}
}

// Allow sets how many more bytes may be read, whatever was left before.
func (l *Limiter) Allow(bytes int64) {
	l.left, l.exceeded = max(0, bytes), false
}

// Exceeded reports whether more was to be read than the last call of Allow has allowed.
func (l *Limiter) Exceeded() bool { return l.exceeded }

// Total returns how many bytes have been read.
func (l *Limiter) Total() int64 { return l.total }

// Read reads at most as many bytes as are left. It returns ErrLimit if none are.
func (l *Limiter) Read(p []byte) (int, error) {
	if l.left == 0 && len(p) > 0 {
		l.exceeded = true
		return 0, ErrLimit
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.total += int64(n)
	return n, err
}
