// Package applier makes operators' changes in the platform's store. A change flows in with its id,
// actor, reason and expected version; one conditional update stores the object together with its audit
// record, so that neither exists without the other. A lost answer is resolved by reading back the change
// id, never by repeating the update blindly.
package applier

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/coder/quartz"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	// AnyVersion as the expected version takes the version at hand.
	AnyVersion = -1
)

type (
	// Store is the part of the platform that changes need.
	Store interface {
		Get(ctx context.Context, key string) (client.Object, error)
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
		ID              string
		Actor           string
		Reason          string
		ExpectedVersion int64
		// Object has the new spec; its version and changes are ignored.
		Object *pb.ConfigObject
		// Summary names what changes.
		Summary string
	}
)

// New returns an Applier.
func New(c Config) *Applier {
	return &Applier{config: c}
}

// Apply makes the change and tells what became of it.
func (a *Applier) Apply(ctx context.Context, c Change) *pb.ChangeOutcome {
	key := keyer.Of(c.Object)
	before, err := a.read(ctx, key)
	if err != nil {
		return outcome(c, pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE, "read %s: %v", key, err)
	}
	if done := findChange(before, c.ID); done != nil {
		return accepted(c, before.GetVersion())
	}
	if c.ExpectedVersion != AnyVersion && c.ExpectedVersion != before.GetVersion() {
		return conflict(c, key, before)
	}
	after := a.next(before, c)
	version, err := a.write(ctx, key, after, before.GetVersion())
	switch {
	case err == nil:
		after.Version = version
		a.config.Keeper.Apply([]*pb.ConfigObject{after}, 0)
		return accepted(c, version)
	case errors.Is(err, client.ErrConflict), errors.Is(err, client.ErrOutcomeUnknown):
		return a.resolve(ctx, key, before.GetVersion(), c)
	default:
		return outcome(c, pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE, "write %s: %v", key, err)
	}
}

// Find returns the change with the id in the object's audit trail, or nil.
func (a *Applier) Find(ctx context.Context, key, changeID string) (*pb.Change, error) {
	object, err := a.read(ctx, key)
	if err != nil {
		return nil, err
	}
	return findChange(object, changeID), nil
}

// read returns the object, or an empty one with version 0 when there is none.
func (a *Applier) read(ctx context.Context, key string) (*pb.ConfigObject, error) {
	o, err := a.config.Store.Get(ctx, key)
	if errors.Is(err, client.ErrNotFound) {
		return &pb.ConfigObject{}, nil
	}
	if err != nil {
		return nil, err
	}
	return watcher.Decode(o)
}

func (a *Applier) next(before *pb.ConfigObject, c Change) *pb.ConfigObject {
	after := proto.CloneOf(c.Object)
	after.Changes = append(proto.CloneOf(before).GetChanges(), &pb.Change{
		ChangeId:      c.ID,
		Actor:         c.Actor,
		Reason:        c.Reason,
		ChangedAt:     timestamppb.New(a.config.Clock.Now()),
		VersionBefore: before.GetVersion(),
		DigestAfter:   digest(after),
		Summary:       c.Summary,
	})
	after.ArchivedChanges = before.GetArchivedChanges()
	return after
}

func (a *Applier) write(ctx context.Context, key string, o *pb.ConfigObject, before int64) (int64, error) {
	o.Version = 0
	value, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(o)
	if err != nil {
		return 0, errors.Wrap(err, "encode object")
	}
	if before == 0 {
		return a.config.Store.Create(ctx, key, value)
	}
	return a.config.Store.Update(ctx, key, value, before)
}

// resolve finds out whether a change whose update failed or whose answer was lost was made.
func (a *Applier) resolve(ctx context.Context, key string, before int64, c Change) *pb.ChangeOutcome {
	now, err := a.read(ctx, key)
	switch {
	case err != nil:
		return outcome(c, pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN,
			"the platform's answer was lost; ask again for change %s of %s", c.ID, key)
	case findChange(now, c.ID) != nil:
		a.config.Keeper.Apply([]*pb.ConfigObject{now}, 0)
		return accepted(c, now.GetVersion())
	case now.GetVersion() != before:
		return conflict(c, key, now)
	default:
		return outcome(c, pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN,
			"change %s of %s is not there yet; ask again", c.ID, key)
	}
}

func findChange(o *pb.ConfigObject, id string) *pb.Change {
	for _, c := range o.GetChanges() {
		if c.GetChangeId() == id {
			return c
		}
	}
	return nil
}

func conflict(c Change, key string, now *pb.ConfigObject) *pb.ChangeOutcome {
	o := outcome(c, pb.ResultCode_RESULT_CODE_VERSION_CONFLICT,
		"%s has version %d, expected %d", key, now.GetVersion(), c.ExpectedVersion)
	o.Version = now.GetVersion()
	if n := len(now.GetChanges()); n > 0 {
		o.Winner = now.GetChanges()[n-1]
	}
	return o
}

func accepted(c Change, version int64) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{Code: pb.ResultCode_RESULT_CODE_OK, ChangeId: c.ID, Version: version}
}

func outcome(c Change, code pb.ResultCode, format string, arguments ...any) *pb.ChangeOutcome {
	return &pb.ChangeOutcome{Code: code, ChangeId: c.ID, Message: fmt.Sprintf(format, arguments...)}
}

// digest covers the spec alone.
func digest(o *pb.ConfigObject) string {
	spec := proto.CloneOf(o)
	spec.Changes = nil
	spec.Version = 0
	value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}
