// Package applier makes operators' changes in the platform's store. A change flows in with its id,
// actor, reason and expected version; one conditional update stores the object together with its audit
// record, so that neither exists without the other. A lost answer is resolved by reading back the change
// id. An update is sent again only under the same precondition and with the same change id, so that at
// most one of the copies can take effect however late they arrive.
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
	// AnyVersion as the expected version takes the version at hand.
	AnyVersion = -1
	// NoVersion as the expected version creates the object, also over a tombstone.
	NoVersion = 0

	retryFor        = 6 * time.Second
	firstRetryPause = 50 * time.Millisecond
	maxRetryPause   = time.Second

	maxValueBytes  = 1_000_000 // 1 MB, the platform's largest value
	maxIDBytes     = 64
	maxReasonBytes = 1_000
)

type (
	// Store is the part of the platform that changes need.
	Store interface {
		Get(ctx context.Context, key string) (client.Object, error)
		List(ctx context.Context, prefix string) (client.Listing, error)
		Create(ctx context.Context, key string, value []byte) (int64, error)
		Update(ctx context.Context, key string, value []byte, version int64) (int64, error)
	}

	// Keeper takes the accepted object at once, ahead of the watch.
	Keeper interface {
		Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject
	}

	// Config holds what an Applier needs.
	Config struct {
		Store  Store
		Keeper Keeper
		Clock  quartz.Clock
	}

	// Applier makes changes. It is safe for concurrent use.
	Applier struct {
		config Config
	}

	// Change is what an operator asks for.
	Change struct {
		// ID is unique to the change; a repeat with the same id is the same change.
		ID     string
		Actor  string
		Reason string
		// ExpectedVersion is the version that the object must have, NoVersion or AnyVersion.
		ExpectedVersion int64
		// Key names the object to delete. It is empty when Object is set.
		Key string
		// Object has the new spec; its version and changes are ignored. It is nil for a deletion.
		Object *pb.ConfigObject
		// Summary names what changes.
		Summary string
	}
)

// New returns an Applier.
func New(c Config) *Applier {
	return &Applier{config: c}
}

// Apply makes the change and tells what became of it. While the platform is down it tries again for a
// bounded time. It does not end with the operator's connection, because the outcome must be known.
func (a *Applier) Apply(ctx context.Context, c Change) *pb.ChangeOutcome {
	if o := checkTexts(c); o != nil {
		return o
	}
	return a.newAttempt(c).run(context.WithoutCancel(ctx))
}

// Find returns the change with the id in the object's audit trail or in its archives, or nil.
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

// key returns the key of the object that changes.
func (c Change) key() string {
	if c.Object == nil {
		return c.Key
	}
	return keyer.Of(c.Object)
}

func checkTexts(c Change) *pb.ChangeOutcome {
	invalid := pb.ResultCode_RESULT_CODE_INVALID_OBJECT
	switch {
	case c.ID == "" || len(c.ID) > maxIDBytes:
		return outcome(c, invalid, "change_id must have 1 to %d bytes", maxIDBytes)
	case len(c.Reason) > maxReasonBytes:
		return outcome(c, invalid, "reason exceeds %d bytes", maxReasonBytes)
	case c.key() == "":
		return outcome(c, invalid, "the object has no spec")
	}
	return nil
}
