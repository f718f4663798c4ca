package applier

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

type (
	// attempt is the state of one change that is being applied.
	attempt struct {
		config      Config
		change      Change
		key         string
		deadline    time.Time
		retryDelays *backoff.ExponentialBackOff
		// maybeApplied is set once an update was sent whose outcome is unknown: it may still take effect.
		maybeApplied bool
		// conflicted is set once the platform reported that the object has another version.
		conflicted bool
	}
)

func (a *Applier) newAttempt(c Change) *attempt {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	return &attempt{
		config: a.config, change: c, key: c.key(), retryDelays: delays, deadline: a.config.Clock.Now().Add(retryTimeout),
	}
}

func (t *attempt) run(ctx context.Context) *pb.ChangeOutcome {
	before, err := t.read(ctx)
	if err != nil {
		return newOutcome(t.change, pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE, "read %s: %v", t.key, err)
	}
	if o, err := t.outcomeWithoutWrite(ctx, before); o != nil || err != nil {
		return t.outcomeOrUnavailable(o, err)
	}
	if err := t.archive(ctx, before); err != nil {
		return t.outcomeOrUnavailable(nil, err)
	}
	after := t.objectAfter(before)
	value, err := encode(after)
	if err != nil || len(value) > maxValueBytes {
		return newOutcome(t.change, pb.ResultCode_RESULT_CODE_INVALID_OBJECT,
			"%s takes %d bytes, the platform holds %d (%v)", t.key, len(value), maxValueBytes, err)
	}
	return t.write(ctx, before.GetVersion(), after, value)
}

// outcomeWithoutWrite returns the outcome of a change that needs no write, or nil: a repeated change, a version
// conflict, or the deletion of an object that does not exist.
func (t *attempt) outcomeWithoutWrite(ctx context.Context, before *pb.ConfigObject) (*pb.ChangeOutcome, error) {
	recorded, version, err := t.find(ctx, before)
	expected := t.change.ExpectedVersion
	switch {
	case err != nil:
		return nil, err
	case recorded != nil:
		return t.repeatOutcome(recorded, version), nil
	case expected == NoVersion && before.GetDeleted():
		return nil, nil // a tombstone counts as absent
	case expected != AnyVersion && expected != before.GetVersion():
		return conflictOutcome(t.change, t.key, before), nil
	case t.change.Object == nil && (before.GetVersion() == NoVersion || before.GetDeleted()):
		return newOutcome(t.change, pb.ResultCode_RESULT_CODE_NOT_FOUND, "%s does not exist", t.key), nil
	}
	return nil, nil
}

// repeatOutcome returns the outcome of a change whose id is already in the audit trail.
func (t *attempt) repeatOutcome(recorded *pb.Change, version int64) *pb.ChangeOutcome {
	if t.change.Object != nil && recorded.GetDigestAfter() != digest(t.change.Object) {
		return newOutcome(t.change, pb.ResultCode_RESULT_CODE_INVALID_OBJECT,
			"change_id %s was used for another change of %s", t.change.ID, t.key)
	}
	return acceptedOutcome(t.change, version)
}

// objectAfter returns the object as it is after the change, with the audit record appended.
func (t *attempt) objectAfter(before *pb.ConfigObject) *pb.ConfigObject {
	after := proto.CloneOf(t.change.Object)
	if after == nil {
		after = proto.CloneOf(before)
		after.Deleted = true
	}
	kept, archived := splitChanges(before)
	after.Version = 0
	after.ArchivedChanges = before.GetArchivedChanges() + int64(len(archived))
	after.Changes = append(append([]*pb.Change{}, kept...), &pb.Change{
		ChangeId:      t.change.ID,
		Actor:         t.change.Actor,
		Reason:        t.change.Reason,
		ChangedAt:     timestamppb.New(t.config.Clock.Now()),
		VersionBefore: before.GetVersion(),
		DigestAfter:   digest(after),
		Summary:       t.change.Summary,
	})
	return after
}

// write sends the conditional update until its outcome is known or the deadline passes. Every copy has the same
// precondition, so that at most one takes effect.
func (t *attempt) write(
	ctx context.Context, versionBefore int64, after *pb.ConfigObject, value []byte,
) *pb.ChangeOutcome {
	for {
		version, err := t.put(ctx, value, versionBefore)
		if err == nil {
			after.Version = version
			t.config.Keeper.Apply([]*pb.ConfigObject{after}, 0)
			return acceptedOutcome(t.change, version)
		}
		if o := t.resolve(ctx, versionBefore, err); o != nil {
			return o
		}
		if !t.waitBeforeRetry(ctx) {
			return t.timeoutOutcome(err)
		}
	}
}

func (t *attempt) put(ctx context.Context, value []byte, versionBefore int64) (int64, error) {
	if versionBefore == NoVersion {
		return t.config.Store.Create(ctx, t.key, value)
	}
	return t.config.Store.Update(ctx, t.key, value, versionBefore)
}

// resolve reads the object back after an update that failed or whose answer was lost, and returns the outcome. It
// returns nil while the outcome is open: the update was not executed, the object cannot be read, or neither the update
// nor another change has taken effect.
func (t *attempt) resolve(ctx context.Context, versionBefore int64, failure error) *pb.ChangeOutcome {
	switch {
	case errors.Is(failure, client.ErrUnavailable):
		return nil // this copy was not executed
	case errors.Is(failure, client.ErrConflict):
		t.conflicted = true
	default:
		t.maybeApplied = true
	}
	current, err := t.read(ctx)
	if err != nil {
		return nil
	}
	recorded, version, err := t.find(ctx, current)
	switch {
	case err != nil:
		return nil
	case recorded != nil:
		t.config.Keeper.Apply([]*pb.ConfigObject{current}, 0)
		return acceptedOutcome(t.change, version)
	case current.GetVersion() != versionBefore:
		t.config.Keeper.Apply([]*pb.ConfigObject{current}, 0)
		return conflictOutcome(t.change, t.key, current)
	}
	return nil
}

// timeoutOutcome returns the outcome after the deadline. An update that may still take effect is never reported as
// failed.
func (t *attempt) timeoutOutcome(err error) *pb.ChangeOutcome {
	switch {
	case t.maybeApplied:
		return newOutcome(t.change, pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN,
			"the platform's answer was lost and it cannot be asked now; ask again for change %s of %s",
			t.change.ID, t.key)
	case t.conflicted:
		return newOutcome(t.change, pb.ResultCode_RESULT_CODE_VERSION_CONFLICT,
			"another change of %s came first; it cannot be read now", t.key)
	default:
		return t.outcomeOrUnavailable(nil, err)
	}
}

// outcomeOrUnavailable returns the outcome, or PLATFORM_UNAVAILABLE if there is an error.
func (t *attempt) outcomeOrUnavailable(o *pb.ChangeOutcome, err error) *pb.ChangeOutcome {
	if err == nil {
		return o
	}
	return newOutcome(t.change, pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE,
		"%s was not changed: %v", t.key, err)
}

// read returns the object, or an empty one with version 0 if it does not exist. It retries while the platform is
// unavailable.
func (t *attempt) read(ctx context.Context) (*pb.ConfigObject, error) {
	for {
		o, err := t.config.Store.Get(ctx, t.key)
		switch {
		case err == nil:
			return watcher.Decode(o)
		case errors.Is(err, client.ErrNotFound):
			return &pb.ConfigObject{}, nil
		case !t.waitBeforeRetry(ctx):
			return nil, err
		}
	}
}

// waitBeforeRetry waits for the delay before the next retry. It returns false if the deadline would pass first.
func (t *attempt) waitBeforeRetry(ctx context.Context) bool {
	delay := t.retryDelays.NextBackOff()
	if t.config.Clock.Now().Add(delay).After(t.deadline) {
		return false
	}
	timer := t.config.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
