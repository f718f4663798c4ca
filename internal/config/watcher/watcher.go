// Package watcher reads the configuration from the platform into the keeper. It runs on the few nodes that
// relay the configuration to the others. It lists all objects if the keeper has none, and then uses a
// long-polling watch. While the platform is down, it retries with exponential, jittered backoff, and the
// keeper's objects stay in force. It lists all objects again if the platform's revision went back, and
// periodically, so that a missed object is not missing for long.
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
	watchWait         = 20 * time.Second
	idlePause         = 200 * time.Millisecond
	relistInterval    = 10 * time.Minute
	maxRetryPause     = 5 * time.Second
	initialRetryPause = 100 * time.Millisecond
)

type (
	// Store is the part of the platform's API that the watcher uses.
	Store interface {
		List(ctx context.Context, prefix string) (client.Listing, error)
		Watch(ctx context.Context, after int64, wait time.Duration) (client.Listing, error)
	}

	// Keeper holds the configuration in force.
	Keeper interface {
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
		CompleteTo() int64
	}

	// Config configures a Watcher.
	Config struct {
		Store  Store
		Keeper Keeper
		Clock  quartz.Clock
		Logger *slog.Logger
		// Active reports whether this node should watch the platform now; nil means always.
		Active func() bool
		// MaxRetryPause returns the upper limit of the pause between attempts; nil means 5 s.
		MaxRetryPause func() time.Duration
	}

	// Watcher keeps the keeper up to date with the platform's objects.
	Watcher struct {
		config    Config
		reachable atomic.Bool
		// failing is true from the first failed attempt until the next successful one.
		failing bool
		// listedAt is the time of the last full list, or of the first full configuration from another node;
		// zero means none yet.
		listedAt time.Time
	}
)

// New returns a Watcher.
func New(c Config) *Watcher {
	if c.Active == nil {
		c.Active = func() bool { return true }
	}
	if c.MaxRetryPause == nil {
		c.MaxRetryPause = func() time.Duration { return maxRetryPause }
	}
	return &Watcher{config: c}
}

// Reachable reports whether the last call to the platform succeeded.
func (w *Watcher) Reachable() bool {
	return w.reachable.Load()
}

// Run lists and watches the platform's objects until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialRetryPause
	for ctx.Err() == nil {
		if !w.config.Active() {
			sleeper.Sleep(ctx, w.config.Clock, idlePause)
			continue
		}
		err := w.listOrWatch(ctx)
		if err == nil {
			if !w.reachable.Swap(true) {
				w.config.Logger.Info("platform reachable", "revision", w.config.Keeper.CompleteTo())
			}
			w.failing = false
			retryBackoff.Reset()
			continue
		}
		retryBackoff.MaxInterval = w.config.MaxRetryPause()
		retryPause := retryBackoff.NextBackOff()
		w.reachable.Store(false)
		w.logFailure(err)
		sleeper.Sleep(ctx, w.config.Clock, retryPause)
	}
}

// logFailure logs once per outage what the node does without the platform.
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

// listOrWatch lists all objects if the keeper has none or the last full list is too old. Otherwise it
// watches for newer objects.
func (w *Watcher) listOrWatch(ctx context.Context) error {
	revision := w.config.Keeper.CompleteTo()
	now := w.config.Clock.Now()
	if w.listedAt.IsZero() && revision > 0 {
		w.listedAt = now // another node has sent the full configuration
	}
	if revision == 0 || now.Sub(w.listedAt) > relistInterval {
		listing, err := w.config.Store.List(ctx, "")
		if err != nil {
			return err
		}
		w.listedAt = now
		w.apply(listing)
		if listing.Revision > 0 {
			return nil
		}
		sleeper.Sleep(ctx, w.config.Clock, idlePause) // an empty store has no revision from which to watch
		return nil
	}
	listing, err := w.config.Store.Watch(ctx, revision, watchWait)
	if err != nil {
		return err
	}
	if listing.Revision < revision {
		w.config.Logger.Error("platform's revision went back", "before", revision, "now", listing.Revision)
		w.listedAt = now.Add(-2 * relistInterval)
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

// Decode decodes the configuration object in the platform's object and sets its version.
func Decode(o client.Object) (*pb.ConfigObject, error) {
	decoded := &pb.ConfigObject{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(o.Value, decoded); err != nil {
		return nil, errors.Wrapf(err, "decode %s", o.Key)
	}
	decoded.Version = o.Version
	return decoded, nil
}
