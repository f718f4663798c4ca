// Package keeper holds the configuration in force on this node. It receives objects from the platform's
// watch and from other nodes, in any order and possibly more than once. It applies an object only if its
// version is newer than the current one, so an object never reverts to an older version. After each change
// it builds an immutable index, from which requests read the configuration.
package keeper

import (
	"sync"
	"sync/atomic"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
)

type (
	// Config configures a Keeper.
	Config struct {
		Asserter *asserter.Asserter
	}

	// Keeper holds the newest version of each configuration object. It is safe for concurrent use.
	Keeper struct {
		asserter *asserter.Asserter
		index    atomic.Pointer[indexer.Index]
		// digest is the sum of the versions of all objects, tombstones included.
		digest atomic.Uint64
		mutex  sync.Mutex
		// objects maps a key to the newest version seen of its object. The version of a key only increases.
		objects map[string]*pb.ConfigObject
		// completeTo is the platform revision up to which no object is missing.
		completeTo int64
		// changed is closed and replaced after each change.
		changed   chan struct{}
		observers []func(changed []*pb.ConfigObject)
	}
)

// New returns an empty Keeper.
func New(c Config) *Keeper {
	k := &Keeper{asserter: c.Asserter, objects: map[string]*pb.ConfigObject{}, changed: make(chan struct{})}
	k.index.Store(indexer.New(nil))
	return k
}

// Index returns the index of the objects in force.
func (k *Keeper) Index() *indexer.Index {
	return k.index.Load()
}

// Digest returns the sum of the versions of all objects in force. Two nodes with equal digests have the
// same configuration, except with negligible probability.
func (k *Keeper) Digest() uint64 {
	return k.digest.Load()
}

// CompleteTo returns the platform revision up to which this node misses no object.
func (k *Keeper) CompleteTo() int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.completeTo
}

// AddObserver registers a function that is called after each change with the objects that were applied.
// The function must not call Apply.
func (k *Keeper) AddObserver(observer func(changed []*pb.ConfigObject)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.observers = append(k.observers, observer)
}

// Apply applies the objects that are newer than the current ones and returns them. completeTo is the
// platform revision up to which the sender has all objects, or zero if that is unknown.
func (k *Keeper) Apply(objects []*pb.ConfigObject, completeTo int64) []*pb.ConfigObject {
	applied, observers := k.applyNewer(objects, completeTo)
	if len(applied) == 0 {
		return nil
	}
	for _, o := range observers {
		o(applied)
	}
	return applied
}

// Versions returns the version in force of each key, tombstones included.
func (k *Keeper) Versions() map[string]int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	versions := make(map[string]int64, len(k.objects))
	for key, o := range k.objects {
		versions[key] = o.GetVersion()
	}
	return versions
}

// NewerThan returns the objects whose keys are missing from versions or have an older version there.
func (k *Keeper) NewerThan(versions map[string]int64) []*pb.ConfigObject {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var newer []*pb.ConfigObject
	for key, o := range k.objects {
		if o.GetVersion() > versions[key] {
			newer = append(newer, o)
		}
	}
	return newer
}

// ObjectsAfter returns the objects whose versions are above the platform revision.
func (k *Keeper) ObjectsAfter(revision int64) []*pb.ConfigObject {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var newer []*pb.ConfigObject
	for _, o := range k.objects {
		if o.GetVersion() > revision {
			newer = append(newer, o)
		}
	}
	return newer
}

// Changed returns a channel that is closed at the next change.
func (k *Keeper) Changed() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.changed
}

// Objects returns all objects, tombstones included.
func (k *Keeper) Objects() []*pb.ConfigObject {
	return k.NewerThan(nil)
}

func (k *Keeper) applyNewer(
	objects []*pb.ConfigObject, completeTo int64,
) (applied []*pb.ConfigObject, observers []func([]*pb.ConfigObject)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, o := range objects {
		if k.applyIfNewerLocked(o) {
			applied = append(applied, o)
		}
	}
	k.completeTo = max(k.completeTo, completeTo)
	if len(applied) == 0 {
		return nil, nil
	}
	k.index.Store(indexer.New(k.objectsLocked()))
	close(k.changed)
	k.changed = make(chan struct{})
	return applied, k.observers
}

func (k *Keeper) applyIfNewerLocked(o *pb.ConfigObject) bool {
	key := keyer.Of(o)
	if key == "" || o.GetChangeArchive() != nil {
		return false // change archives are read directly from the platform
	}
	before := k.objects[key].GetVersion()
	if o.GetVersion() <= before {
		return false
	}
	k.objects[key] = o
	k.digest.Add(uint64(o.GetVersion() - before))
	k.asserter.Check(k.objects[key].GetVersion() > before, "config_version_never_goes_back", "key", key)
	return true
}

func (k *Keeper) objectsLocked() []*pb.ConfigObject {
	all := make([]*pb.ConfigObject, 0, len(k.objects))
	for _, o := range k.objects {
		all = append(all, o)
	}
	return all
}
