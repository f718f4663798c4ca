package readlimiter_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/readlimiter"
)

func TestReadEndsAtLimitUntilMoreIsAllowed(t *testing.T) {
	is := is.New(t)
	l := readlimiter.New(readlimiter.Config{Source: strings.NewReader("0123456789")})
	_, err := l.Read(make([]byte, 1))
	is.True(errors.Is(err, readlimiter.ErrLimit)) // nothing is allowed at first
	l.Allow(4)
	got, err := io.ReadAll(l)
	is.Equal(string(got), "0123")
	is.True(errors.Is(err, readlimiter.ErrLimit))
	l.Allow(100)
	got, err = io.ReadAll(l)
	is.Equal(string(got), "456789")
	is.NoErr(err)
}
