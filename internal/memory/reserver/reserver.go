// Package reserver bounds the memory that messages of other processes take. Whoever is about to read a message reserves
// the room for all of it first, and releases it when the message is no longer held. Reservations are granted in the
// order in which they were asked for, each as a whole, so that no reader waits with half of its room.
package reserver

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

type (
	// Config holds what a Reserver needs.
	Config struct {
		// Bytes is how many bytes may be reserved at once, at least 1.
		Bytes int64
		// OnWait, if not nil, is called for each reservation that has to wait.
		OnWait func()
	}

	// Reserver counts the reserved bytes. It is safe for concurrent use.
	Reserver struct {
		config Config
		room   *semaphore.Weighted
		// reserved is the number of reserved bytes, at most Config.Bytes.
		reserved atomic.Int64
	}

	// Reservation is reserved room. A nil Reservation has none. It is not safe for concurrent use.
	Reservation struct {
		reserver *Reserver
		// bytes is how much is still reserved, at least 0.
		bytes int64
	}
)

// New returns a Reserver of which nothing is reserved.
func New(c Config) *Reserver {
	c.Bytes = max(1, c.Bytes)
	return &Reserver{config: c, room: semaphore.NewWeighted(c.Bytes)}
}

// Reserved returns the number of reserved bytes.
func (r *Reserver) Reserved() int64 { return r.reserved.Load() }

// Reserve reserves room, and waits for it until the context ends. Who asks for more than there is gets all of it.
func (r *Reserver) Reserve(ctx context.Context, bytes int64) (*Reservation, error) {
	if v := r.TryReserve(bytes); v != nil {
		return v, nil
	}
	if r.config.OnWait != nil {
		r.config.OnWait()
	}
	bytes = min(bytes, r.config.Bytes)
	if err := r.room.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return r.reservation(bytes), nil
}

// TryReserve reserves room if there is room now and nobody waits for it, else it returns nil. Who asks for more than
// there is gets all of it.
func (r *Reserver) TryReserve(bytes int64) *Reservation {
	bytes = min(bytes, r.config.Bytes)
	if !r.room.TryAcquire(bytes) {
		return nil
	}
	return r.reservation(bytes)
}

func (r *Reserver) reservation(bytes int64) *Reservation {
	r.reserved.Add(bytes)
	return &Reservation{reserver: r, bytes: bytes}
}

// Shrink releases all but the given number of bytes.
func (v *Reservation) Shrink(bytes int64) {
	if v == nil || bytes >= v.bytes {
		return
	}
	excess := v.bytes - max(0, bytes)
	v.bytes -= excess
	v.reserver.reserved.Add(-excess)
	v.reserver.room.Release(excess)
}

// Release releases the room. Further calls do nothing.
func (v *Reservation) Release() { v.Shrink(0) }
