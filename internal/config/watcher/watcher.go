// Package watcher brings the configuration from the platform to the keeper on the few nodes that relay it:
// one list when nothing is known, then a waiting watch. While the platform is down it tries again with
// growing, jittered pauses and the keeper's objects stay in force. A platform whose revisions went back
// is listed in full, and so it is from time to time, so that no object can be missed for long.
package watcher

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	watchWait       = 20 * time.Second
	idlePause       = 200 * time.Millisecond
	listGap         = 10 * time.Minute
	maxRetryPause   = 5 * time.Second
	firstRetryPause = 100 * time.Millisecond
)

type (
	// Store is the part of the platform that the watcher reads.
	Store interface {
		List(ctx context.Context, prefix string) (client.Listing, error)
		Watch(ctx context.Context, after int64, wait time.Duration) (client.Listing, error)
	}

	// Keeper takes objects.
	Keeper interface {
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
		CompleteTo() int64
	}

	// Config holds what a Watcher needs.
	Config struct {
		Store  Store
		Keeper Keeper
		Clock  quartz.Clock
		Logger *slog.Logger
		// Active tells whether this node is to watch now; nil means always.
		Active func() bool
		// MaxPause bounds the pause between attempts; nil means 5 s.
		MaxPause func() time.Duration
	}

	// Watcher follows the platform's objects.
	Watcher struct {
		config    Config
		reachable atomic.Bool
		// failing is set from the first failed attempt to the next that succeeds.
		failing bool
		// listedAt is when everything was listed last; zero asks for it now.
		listedAt time.Time
	}
)

// New returns a Watcher.
func New(c Config) *Watcher {
	if c.Active == nil {
		c.Active = func() bool { return true }
	}
	if c.MaxPause == nil {
		c.MaxPause = func() time.Duration { return maxRetryPause }
	}
	return &Watcher{config: c}
}

// Reachable tells whether the platform answered last time.
func (w *Watcher) Reachable() bool {
	return w.reachable.Load()
}

// Run follows the platform until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRetryPause
	for ctx.Err() == nil {
		if !w.config.Active() {
			sleeper.Sleep(ctx, w.config.Clock, idlePause)
			continue
		}
		err := w.step(ctx)
		if err == nil {
			if !w.reachable.Swap(true) {
				w.config.Logger.Info("platform reachable", "revision", w.config.Keeper.CompleteTo())
			}
			w.failing = false
			pause.Reset()
			continue
		}
		pause.MaxInterval = w.config.MaxPause()
		next := pause.NextBackOff()
		w.reachable.Store(false)
		w.logFailure(err)
		sleeper.Sleep(ctx, w.config.Clock, next)
	}
}

// logFailure says once for each outage what the node does without the platform.
func (w *Watcher) logFailure(err error) {
	if w.failing {
		return
	}
	w.failing = true
	if w.config.Keeper.CompleteTo() == 0 {
		w.config.Logger.Warn("no configuration yet: waiting for the platform or for a node that has one",
			"error", err.Error())
		return
	}
	w.config.Logger.Warn("platform not reachable: the configuration in force stays", "error", err.Error(),
		"revision", w.config.Keeper.CompleteTo())
}

// step reads everything when nothing is known yet or the last list is old, and what is newer otherwise.
func (w *Watcher) step(ctx context.Context) error {
	revision := w.config.Keeper.CompleteTo()
	now := w.config.Clock.Now()
	if w.listedAt.IsZero() && revision > 0 {
		w.listedAt = now // another node gave everything to this one
	}
	if revision == 0 || now.Sub(w.listedAt) > listGap {
		listing, err := w.config.Store.List(ctx, "")
		if err != nil {
			return err
		}
		w.listedAt = now
		w.apply(listing)
		if listing.Revision > 0 {
			return nil
		}
		sleeper.Sleep(ctx, w.config.Clock, idlePause) // an empty store has no revision to watch from
		return nil
	}
	listing, err := w.config.Store.Watch(ctx, revision, watchWait)
	if err != nil {
		return err
	}
	if listing.Revision < revision {
		w.config.Logger.Error("platform's revision went back", "before", revision, "now", listing.Revision)
		w.listedAt = now.Add(-2 * listGap)
		sleeper.Sleep(ctx, w.config.Clock, idlePause)
	}
	w.apply(listing)
	return nil
}

func (w *Watcher) apply(listing client.Listing) {
	objects := make([]*pb.ConfigObject, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		decoded, err := Decode(o)
		if err != nil {
			w.config.Logger.Error("object not decoded", "key", o.Key, "version", o.Version, "error", err.Error())
			continue
		}
		objects = append(objects, decoded)
	}
	w.config.Keeper.Apply(objects, listing.Revision)
}

// Decode returns the configuration object that the platform's object holds, with its version.
func Decode(o client.Object) (*pb.ConfigObject, error) {
	decoded := &pb.ConfigObject{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(o.Value, decoded); err != nil {
		return nil, errors.Wrapf(err, "decode %s", o.Key)
	}
	decoded.Version = o.Version
	return decoded, nil
}
