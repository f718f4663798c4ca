package deadliner_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/clock/deadliner"
)

const (
	answerBytes        = 906_000
	linkBytesPerSecond = 125_000_000
	// tick is how often a link delivers bytes to each of its readers.
	tick = 10 * time.Millisecond
)

type (
	// link is shared equally by all answers that it carries.
	link struct {
		answers atomic.Int64
	}

	// linkReader reads one answer. It returns bytes every period, and an error when the call's context ends.
	linkReader struct {
		ctx    context.Context //nolint:containedctx // the context of the one call that the reader stands for
		read   func() int
		period time.Duration
		left   int
	}
)

func (r *linkReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-r.ctx.Done():
		return 0, context.Cause(r.ctx)
	case <-time.After(r.period):
	}
	n := min(r.read(), r.left, len(p))
	r.left -= n
	return n, nil
}

func config() deadliner.Config {
	return deadliner.Config{
		WaitTimeout: time.Second, ReadTimeout: time.Second, AnswerTimeout: 20 * time.Second, Clock: quartz.NewReal(),
	}
}

// readAll makes a call whose answer is read by r and returns how long it took.
func readAll(t *testing.T, r *linkReader) (time.Duration, error) {
	t.Helper()
	startedAt := time.Now()
	ctx, d := deadliner.New(t.Context(), config())
	defer d.Stop()
	r.ctx = ctx
	_, err := io.Copy(io.Discard, d.Answer(r))
	return time.Since(startedAt), err
}

// Guards against a fleet whose nodes all start at once and all give up the same large answer while it arrives.
func TestAllReadersOfCongestedLinkFinish(t *testing.T) {
	for _, readers := range []int{74, 195, 1000} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := &link{}
			l.answers.Store(int64(readers))
			failures := make(chan error, readers)
			for range readers {
				go func() {
					defer l.answers.Add(-1)
					_, err := readAll(t, &linkReader{left: answerBytes, period: tick, read: func() int {
						return int(linkBytesPerSecond*tick/time.Second) / int(l.answers.Load())
					}})
					failures <- err
				}()
			}
			for range readers {
				is.NoErr(<-failures)
			}
		})
	}
}

func TestCallEndsWithoutProgress(t *testing.T) {
	for name, c := range map[string]struct {
		period time.Duration
		within time.Duration
	}{
		"answer that stalls":          {time.Hour, time.Second},
		"answer that arrives forever": {100 * time.Millisecond, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				took, err := readAll(t, &linkReader{left: answerBytes, period: c.period, read: func() int { return 1 }})
				is.True(errors.Is(err, deadliner.ErrTimeout))
				is.Equal(took, c.within)
			})
		})
	}
}

func TestCallEndsIfAnswerDoesNotBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		ctx, d := deadliner.New(t.Context(), config())
		defer d.Stop()
		<-ctx.Done()
		is.Equal(context.Cause(ctx), deadliner.ErrTimeout)
		is.Equal(time.Since(startedAt), time.Second)
	})
}
