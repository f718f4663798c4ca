// Package applier applies operators' configuration changes to the platform's store. A change carries its id, actor,
// reason and expected version. One conditional update stores the object together with the audit record of the change,
// so that neither exists without the other. When the store's answer is lost, the object is read back and searched for
// the change id. An update is retried only with the same precondition and the same change id, so that at most one copy
// takes effect, however late the copies arrive.
package applier

import (
	"context"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	// AnyVersion as the expected version accepts whichever version the object has.
	AnyVersion = -1
	// NoVersion as the expected version requires that the object does not exist; a tombstone counts as absent.
	NoVersion = 0

	retryTimeout      = 6 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second

	maxValueBytes  = 1_000_000 // 1 MB, the largest value that the platform accepts
	maxIDBytes     = 64
	maxReasonBytes = 1_000
)

type (
	// Store is the part of the platform's client that changes need.
	Store interface {
		Get(ctx context.Context, key string) (client.Object, error)
		List(ctx context.Context, prefix string) (client.Listing, error)
		Create(ctx context.Context, key string, value []byte) (int64, error)
		Update(ctx context.Context, key string, value []byte, version int64) (int64, error)
	}

	// Keeper receives an accepted object at once, before the watch delivers it.
	Keeper interface {
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// Config holds what an Applier needs.
	Config struct {
		Store  Store
		Keeper Keeper
		Clock  quartz.Clock
	}

	// Applier applies changes. It is safe for concurrent use.
	Applier struct {
		config Config
	}

	// Change is a change of one object that an operator requests.
	Change struct {
		// ID identifies the change: a request that repeats the id is a retry of the same change.
		ID     string
		Actor  string
		Reason string
		// ExpectedVersion is the version that the object must have, NoVersion or AnyVersion.
		ExpectedVersion int64
		// Key names the object to delete. It is empty when Object is set.
		Key string
		// Object holds the new spec; its version and changes are ignored. It is nil for a deletion.
		Object *pb.ConfigObject
		// Summary describes the change in the audit trail.
		Summary string
	}
)

// New returns an Applier.
func New(c Config) *Applier {
	return &Applier{config: c}
}

// Apply applies the change and returns its outcome. While the platform is unavailable it retries for up to
// retryTimeout. It continues after the operator's connection closes, because the outcome must be known.
func (a *Applier) Apply(ctx context.Context, c Change) *pb.ChangeOutcome {
	if o := validateChange(c); o != nil {
		return o
	}
	return a.newAttempt(c).run(context.WithoutCancel(ctx))
}

// Find returns the change with the id from the object's audit trail, archived changes included, or nil.
func (a *Applier) Find(ctx context.Context, key, changeID string) (*pb.Change, error) {
	trail, err := a.Trail(ctx, key)
	if err != nil {
		return nil, err
	}
	for _, c := range trail {
		if c.GetChange().GetChangeId() == changeID {
			return c.GetChange(), nil
		}
	}
	return nil, nil
}

// key returns the key of the changed object.
func (c Change) key() string {
	if c.Object == nil {
		return c.Key
	}
	return keyer.Of(c.Object)
}

// validateChange returns the outcome of a change that is malformed, or nil.
func validateChange(c Change) *pb.ChangeOutcome {
	invalid := pb.ResultCode_RESULT_CODE_INVALID_OBJECT
	switch {
	case c.ID == "" || len(c.ID) > maxIDBytes:
		return newOutcome(c, invalid, "change_id must have 1 to %d bytes", maxIDBytes)
	case len(c.Reason) > maxReasonBytes:
		return newOutcome(c, invalid, "reason exceeds %d bytes", maxReasonBytes)
	case c.key() == "":
		return newOutcome(c, invalid, "the object has no spec")
	}
	return nil
}
