package applier

import (
	"context"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	// When an object has maxObjectChanges changes, the next update moves the oldest archiveBatchSize of them to an
	// archive object. Both are constant so that concurrent operators write the same archive under the same key.
	maxObjectChanges = 64
	archiveBatchSize = 32
)

// Trail returns the audit trail of one object, or of all objects if the key is empty, archived changes included.
// It is sorted by key, then from the oldest change to the newest.
func (a *Applier) Trail(ctx context.Context, key string) ([]*pb.KeyedChange, error) {
	archives, err := a.list(ctx, archivePrefix(key))
	if err != nil {
		return nil, err
	}
	objects, err := a.list(ctx, key)
	if err != nil {
		return nil, err
	}
	byKey := map[string][]*pb.KeyedChange{}
	for _, o := range archives {
		if archive := o.GetChangeArchive(); key == "" || archive.GetObjectKey() == key {
			byKey[archive.GetObjectKey()] = appendChanges(byKey[archive.GetObjectKey()], archive.GetObjectKey(),
				archive.GetSequence(), archive.GetChanges())
		}
	}
	for _, o := range objects {
		k := keyer.Of(o)
		if o.GetChangeArchive() != nil || (key != "" && k != key) {
			continue
		}
		byKey[k] = appendChanges(byKey[k], k, o.GetArchivedChanges(), o.GetChanges())
		setVersionsAfter(byKey[k], o.GetVersion())
	}
	return flattenByKey(byKey), nil
}

func (a *Applier) list(ctx context.Context, prefix string) ([]*pb.ConfigObject, error) {
	listing, err := a.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	objects := make([]*pb.ConfigObject, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		decoded, err := watcher.Decode(o)
		if err != nil {
			return nil, err
		}
		objects = append(objects, decoded)
	}
	sort.Slice(objects, func(i, j int) bool {
		return objects[i].GetChangeArchive().GetSequence() < objects[j].GetChangeArchive().GetSequence()
	})
	return objects, nil
}

// appendChanges appends changes to the trail; first is the index of changes[0] in the trail. An archive is written
// before its changes are dropped from the object, so that both may hold the same changes; these are appended once.
func appendChanges(trail []*pb.KeyedChange, key string, first int64, changes []*pb.Change) []*pb.KeyedChange {
	for i, c := range changes {
		if first+int64(i) >= int64(len(trail)) {
			trail = append(trail, &pb.KeyedChange{Key: key, Change: c})
		}
	}
	return trail
}

// setVersionsAfter sets the version that each change made: the version before the next change, or last.
func setVersionsAfter(trail []*pb.KeyedChange, last int64) {
	for i, c := range trail {
		c.VersionAfter = last
		if i+1 < len(trail) {
			c.VersionAfter = trail[i+1].GetChange().GetVersionBefore()
		}
	}
}

func flattenByKey(byKey map[string][]*pb.KeyedChange) []*pb.KeyedChange {
	keys := make([]string, 0, len(byKey))
	for k := range byKey {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var trail []*pb.KeyedChange
	for _, k := range keys {
		trail = append(trail, byKey[k]...)
	}
	return trail
}

// find searches for the attempt's change in the object and, if the object has archived changes, in the archives.
// It returns the change and the version that it made, or nil.
func (t *attempt) find(ctx context.Context, o *pb.ConfigObject) (*pb.Change, int64, error) {
	changes := o.GetChanges()
	for i, c := range changes {
		if c.GetChangeId() != t.change.ID {
			continue
		}
		if i+1 < len(changes) {
			return c, changes[i+1].GetVersionBefore(), nil
		}
		return c, o.GetVersion(), nil
	}
	if o.GetArchivedChanges() == 0 {
		return nil, 0, nil
	}
	return t.findArchived(ctx)
}

func (t *attempt) findArchived(ctx context.Context) (*pb.Change, int64, error) {
	trail, err := (&Applier{config: t.config}).Trail(ctx, t.key)
	if err != nil {
		return nil, 0, err
	}
	for _, c := range trail {
		if c.GetChange().GetChangeId() == t.change.ID {
			return c.GetChange(), c.GetVersionAfter(), nil
		}
	}
	return nil, 0, nil
}

// splitChanges returns the changes that stay in the object and those that must be archived before its next update.
func splitChanges(o *pb.ConfigObject) (kept, archived []*pb.Change) {
	changes := o.GetChanges()
	if len(changes) < maxObjectChanges {
		return changes, nil
	}
	return changes[archiveBatchSize:], changes[:archiveBatchSize]
}

// archive stores the changes that the next update drops from the object. It is idempotent: the key of an archive
// determines its content.
func (t *attempt) archive(ctx context.Context, before *pb.ConfigObject) error {
	_, archived := splitChanges(before)
	if len(archived) == 0 {
		return nil
	}
	archive := &pb.ConfigObject{Spec: &pb.ConfigObject_ChangeArchive{ChangeArchive: &pb.ChangeArchive{
		ObjectKey: t.key, Sequence: before.GetArchivedChanges(), Changes: archived,
	}}}
	value, err := encode(archive)
	if err != nil {
		return err
	}
	for {
		_, err := t.config.Store.Create(ctx, keyer.Of(archive), value)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, client.ErrConflict):
			return t.verifyArchive(ctx, archive)
		case !t.waitBeforeRetry(ctx):
			return errors.Wrap(err, "archive older changes")
		}
	}
}

// verifyArchive checks that an archive that exists already has the wanted content.
func (t *attempt) verifyArchive(ctx context.Context, wanted *pb.ConfigObject) error {
	for {
		o, err := t.config.Store.Get(ctx, keyer.Of(wanted))
		if err == nil {
			return requireSameArchive(o, wanted)
		}
		if !t.waitBeforeRetry(ctx) {
			return errors.Wrap(err, "read archive of older changes")
		}
	}
}

func requireSameArchive(o client.Object, wanted *pb.ConfigObject) error {
	found, err := watcher.Decode(o)
	if err != nil {
		return err
	}
	if !proto.Equal(found.GetChangeArchive(), wanted.GetChangeArchive()) {
		return errors.Newf("%s holds other changes than the object", o.Key)
	}
	return nil
}

// archivePrefix returns the key prefix of an object's archives, or of all archives if the key is empty.
func archivePrefix(key string) string {
	if key == "" {
		return keyer.Join(keyer.KindChangeArchive, "")
	}
	return keyer.Join(keyer.KindChangeArchive, strings.ReplaceAll(key, "/", ".")+".")
}
