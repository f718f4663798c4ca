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
	// attempt is the state of one change under way.
	attempt struct {
		config   Config
		change   Change
		key      string
		deadline time.Time
		pauses   *backoff.ExponentialBackOff
		// unresolved is set once a copy of the update may still take effect.
		unresolved bool
		// beaten is set once the platform said that another version stands there.
		beaten bool
	}
)

func (a *Applier) newAttempt(c Change) *attempt {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstRetryPause
	pauses.MaxInterval = maxRetryPause
	return &attempt{
		config: a.config, change: c, key: c.key(), pauses: pauses, deadline: a.config.Clock.Now().Add(retryFor),
	}
}

func (t *attempt) run(ctx context.Context) *pb.ChangeOutcome {
	before, err := t.read(ctx)
	if err != nil {
		return outcome(t.change, pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE, "read %s: %v", t.key, err)
	}
	if o, err := t.answerWithoutWrite(ctx, before); o != nil || err != nil {
		return t.orUnavailable(o, err)
	}
	if err := t.archive(ctx, before); err != nil {
		return t.orUnavailable(nil, err)
	}
	after := t.next(before)
	value, err := encode(after)
	if err != nil || len(value) > maxValueBytes {
		return outcome(t.change, pb.ResultCode_RESULT_CODE_INVALID_OBJECT,
			"%s takes %d bytes, the platform holds %d (%v)", t.key, len(value), maxValueBytes, err)
	}
	return t.write(ctx, before.GetVersion(), after, value)
}

// answerWithoutWrite answers a repeated change and one whose expected version is not there.
func (t *attempt) answerWithoutWrite(ctx context.Context, before *pb.ConfigObject) (*pb.ChangeOutcome, error) {
	done, version, err := t.find(ctx, before)
	expected := t.change.ExpectedVersion
	switch {
	case err != nil:
		return nil, err
	case done != nil:
		return t.repeated(done, version), nil
	case expected == NoVersion && before.GetDeleted():
		return nil, nil // a tombstone counts as absent
	case expected != AnyVersion && expected != before.GetVersion():
		return conflict(t.change, t.key, before), nil
	case t.change.Object == nil && (before.GetVersion() == NoVersion || before.GetDeleted()):
		return outcome(t.change, pb.ResultCode_RESULT_CODE_NOT_FOUND, "%s does not exist", t.key), nil
	}
	return nil, nil
}

// repeated answers a change whose id is in the trail already.
func (t *attempt) repeated(done *pb.Change, version int64) *pb.ChangeOutcome {
	if t.change.Object != nil && done.GetDigestAfter() != digest(t.change.Object) {
		return outcome(t.change, pb.ResultCode_RESULT_CODE_INVALID_OBJECT,
			"change_id %s was used for another change of %s", t.change.ID, t.key)
	}
	return accepted(t.change, version)
}

// next returns the object after the change.
func (t *attempt) next(before *pb.ConfigObject) *pb.ConfigObject {
	after := proto.CloneOf(t.change.Object)
	if after == nil {
		after = proto.CloneOf(before)
		after.Deleted = true
	}
	kept, archived := split(before)
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

// write sends the conditional update until its outcome is known or the time is over. Every copy has
// the same precondition, so that at most one takes effect.
func (t *attempt) write(ctx context.Context, before int64, after *pb.ConfigObject, value []byte) *pb.ChangeOutcome {
	for {
		version, err := t.put(ctx, value, before)
		if err == nil {
			after.Version = version
			t.config.Keeper.Apply([]*pb.ConfigObject{after}, 0)
			return accepted(t.change, version)
		}
		if o := t.resolve(ctx, before, err); o != nil {
			return o
		}
		if !t.pause(ctx) {
			return t.giveUp(err)
		}
	}
}

func (t *attempt) put(ctx context.Context, value []byte, before int64) (int64, error) {
	if before == NoVersion {
		return t.config.Store.Create(ctx, t.key, value)
	}
	return t.config.Store.Update(ctx, t.key, value, before)
}

// resolve reads back what became of an update that failed or whose answer was lost. It returns nil
// while the update has not taken effect and no other change has come first.
func (t *attempt) resolve(ctx context.Context, before int64, failure error) *pb.ChangeOutcome {
	switch {
	case errors.Is(failure, client.ErrUnavailable):
		return nil // this copy was not carried out
	case errors.Is(failure, client.ErrConflict):
		t.beaten = true
	default:
		t.unresolved = true
	}
	now, err := t.read(ctx)
	if err != nil {
		return nil
	}
	done, version, err := t.find(ctx, now)
	switch {
	case err != nil:
		return nil
	case done != nil:
		t.config.Keeper.Apply([]*pb.ConfigObject{now}, 0)
		return accepted(t.change, version)
	case now.GetVersion() != before:
		t.config.Keeper.Apply([]*pb.ConfigObject{now}, 0)
		return conflict(t.change, t.key, now)
	}
	return nil
}

// giveUp answers when the time is over. An update that may still take effect is never called failed.
func (t *attempt) giveUp(err error) *pb.ChangeOutcome {
	switch {
	case t.unresolved:
		return outcome(t.change, pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN,
			"the platform's answer was lost and it cannot be asked now; ask again for change %s of %s",
			t.change.ID, t.key)
	case t.beaten:
		return outcome(t.change, pb.ResultCode_RESULT_CODE_VERSION_CONFLICT,
			"another change of %s came first; it cannot be read now", t.key)
	default:
		return t.orUnavailable(nil, err)
	}
}

func (t *attempt) orUnavailable(o *pb.ChangeOutcome, err error) *pb.ChangeOutcome {
	if err == nil {
		return o
	}
	return outcome(t.change, pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE,
		"%s was not changed: %v", t.key, err)
}

// read returns the object, or an empty one with version 0 when there is none. It tries again while the
// platform is down.
func (t *attempt) read(ctx context.Context) (*pb.ConfigObject, error) {
	for {
		o, err := t.config.Store.Get(ctx, t.key)
		switch {
		case err == nil:
			return watcher.Decode(o)
		case errors.Is(err, client.ErrNotFound):
			return &pb.ConfigObject{}, nil
		case !t.pause(ctx):
			return nil, err
		}
	}
}

// pause waits before the next try. It returns false when the time is over.
func (t *attempt) pause(ctx context.Context) bool {
	pause := t.pauses.NextBackOff()
	if t.config.Clock.Now().Add(pause).After(t.deadline) {
		return false
	}
	timer := t.config.Clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
