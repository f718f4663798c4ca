// Package watcher brings the configuration from the platform to the keeper: one list at the start, then
// a waiting watch. While the platform is down it tries again with growing, jittered pauses and the
// keeper's objects stay in force.
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

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	watchWait       = 20 * time.Second
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
	}

	// Config holds what a Watcher needs.
	Config struct {
		Store  Store
		Keeper Keeper
		Clock  quartz.Clock
		Logger *slog.Logger
		// Active tells whether this node is to watch now; nil means always.
		Active func() bool
	}

	// Watcher follows the platform's objects.
	Watcher struct {
		config    Config
		reachable atomic.Bool
	}
)

// New returns a Watcher.
func New(c Config) *Watcher {
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
	pause.MaxInterval = maxRetryPause
	var revision int64
	for ctx.Err() == nil {
		next, err := w.step(ctx, revision)
		if err == nil {
			w.reachable.Store(true)
			revision = next
			pause.Reset()
			continue
		}
		if w.reachable.Swap(false) {
			w.config.Logger.Warn("platform not reachable", "error", err.Error())
		}
		w.sleep(ctx, pause.NextBackOff())
	}
}

// step reads everything when nothing is known yet, and what is newer otherwise.
func (w *Watcher) step(ctx context.Context, revision int64) (int64, error) {
	var listing client.Listing
	var err error
	if revision == 0 {
		listing, err = w.config.Store.List(ctx, "")
	} else {
		listing, err = w.config.Store.Watch(ctx, revision, watchWait)
	}
	if err != nil {
		return 0, err
	}
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
	return max(1, listing.Revision), nil
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

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	timer := w.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
