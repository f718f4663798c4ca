// Package bootstrapper brings a starting node its first documents. They come from a seed, which sends them compressed.
// The node asks one seed at a time, so that a large configuration does not arrive several times on its link, and reads
// the store only if no seed answers or the seeds have no documents themselves.
//
// It answers the load of many nodes that start at the same time, as after a loss of power.
package bootstrapper

import (
	"context"
	"log/slog"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
)

const (
	// seedWait is how long a node waits for the first answer of a seed before it reads the store.
	seedWait = 150 * time.Millisecond
	// answeringSeedWait replaces seedWait, from the last answer on, once a seed has answered.
	answeringSeedWait = 400 * time.Millisecond
	// maxSeedWait bounds the wait for seeds that answer but have no documents.
	maxSeedWait = 800 * time.Millisecond
	// firstStartSeedWait replaces these waits at the first start of all nodes.
	firstStartSeedWait = 2 * time.Second
	// stallTime is how long a seed may give no answer before the next seed is asked as well.
	stallTime = 60 * time.Millisecond
	// pause is the time after the answer of a seed, and after a round of all seeds, before the next seed is asked.
	pause = 100 * time.Millisecond
	// pollPeriod is the time between two checks whether the seed that was asked still answers.
	pollPeriod = 10 * time.Millisecond
)

type (
	// Puller pulls documents from other nodes.
	Puller interface {
		// Pull returns nil once a node has answered, whether or not it had documents.
		Pull(ctx context.Context, address string) error
		// AnsweredAt returns when a node last answered a pull, or sent a part of its answer; zero before the first.
		AnsweredAt() time.Time
	}

	// Config holds what a Bootstrapper needs.
	Config struct {
		// Seeds returns the peer addresses of the other seeds in a new random order on each call.
		Seeds func() []string
		// IsSeed reports whether this node is a seed, which reads the store at once.
		IsSeed func() bool
		// FirstStart is set when all nodes start for the first time.
		FirstStart bool
		Puller     Puller
		// Complete reports whether the node has its first documents.
		Complete func() bool
		Clock    quartz.Clock
		Logger   *slog.Logger
	}

	// Bootstrapper brings one node its first documents. It is safe for concurrent use.
	Bootstrapper struct {
		config    Config
		startedAt time.Time
	}
)

// New returns a Bootstrapper of a node that starts now.
func New(c Config) *Bootstrapper {
	return &Bootstrapper{config: c, startedAt: c.Clock.Now()}
}

// Run asks seeds for documents until the node has its first documents or the context ends.
func (b *Bootstrapper) Run(ctx context.Context) {
	for b.isWaiting(ctx) {
		for _, s := range b.config.Seeds() {
			if b.isWaiting(ctx) {
				b.ask(ctx, s)
			}
		}
		sleeper.Sleep(ctx, b.config.Clock, pause)
	}
}

func (b *Bootstrapper) isWaiting(ctx context.Context) bool {
	return ctx.Err() == nil && !b.config.Complete()
}

// ShouldReadStore reports whether a node without documents should read the store.
func (b *Bootstrapper) ShouldReadStore() bool {
	waited := b.config.Clock.Since(b.startedAt)
	answeredAt := b.config.Puller.AnsweredAt()
	switch {
	case b.config.IsSeed():
		return true
	case b.config.FirstStart:
		return waited > firstStartSeedWait
	case answeredAt.IsZero():
		return waited > seedWait
	default:
		return b.config.Clock.Since(answeredAt) > answeringSeedWait || waited > maxSeedWait
	}
}

// ask pulls from a seed. It returns when the pull has ended, or when it gets no answer; the pull then goes on in the
// background.
func (b *Bootstrapper) ask(ctx context.Context, seed string) {
	ended := make(chan error, 1)
	go func() {
		err := b.config.Puller.Pull(ctx, seed)
		if err != nil {
			b.config.Logger.Info("seed did not answer", "peer_address", seed, "error", err)
		}
		ended <- err
	}()
	askedAt := b.config.Clock.Now()
	for b.isWaiting(ctx) && !b.isSilent(askedAt) {
		select {
		case err := <-ended:
			if err == nil {
				sleeper.Sleep(ctx, b.config.Clock, pause)
			}
			return
		default:
			sleeper.Sleep(ctx, b.config.Clock, pollPeriod)
		}
	}
}

// isSilent reports whether no node has answered for stallTime since a seed was asked.
func (b *Bootstrapper) isSilent(askedAt time.Time) bool {
	since := b.config.Puller.AnsweredAt()
	if since.Before(askedAt) {
		since = askedAt
	}
	return b.config.Clock.Since(since) > stallTime
}
