package applier_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

type (
	fault int

	// faultyStore is an in-memory platform store that injects each kind of fault.
	faultyStore struct {
		mutex      sync.Mutex
		objects    map[string]client.Object
		revision   int64
		writes     map[string]int
		lateWrites sync.WaitGroup
		// writeFaults are injected into the next writes, one each; after them random, if set, decides.
		writeFaults []fault
		random      *rand.Rand
		faultShare  float64
		downUntil   time.Time
	}
)

const (
	faultNone fault = iota
	// faultDown rejects the write as unavailable; nothing is written.
	faultDown
	// faultDownForLong begins an outage that is longer than the retry timeout.
	faultDownForLong
	// faultAnswerLost executes the write and loses the answer.
	faultAnswerLost
	// faultRequestLost loses the request; the client cannot tell this from a lost answer.
	faultRequestLost
	// faultLate executes the write after the client has given up on its answer.
	faultLate
	// faultDownShort begins an outage of one second.
	faultDownShort
	// faultLostThenDown executes the write, loses the answer and begins a long outage.
	faultLostThenDown
	faultCount

	longOutage     = 8 * time.Second
	shortOutage    = time.Second
	lateWriteDelay = 300 * time.Millisecond
)

func newFaultyStore() *faultyStore {
	return &faultyStore{objects: map[string]client.Object{}, writes: map[string]int{}}
}

func (s *faultyStore) Get(_ context.Context, key string) (client.Object, error) {
	s.sleepRandomly()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isDownLocked() {
		return client.Object{}, client.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return client.Object{}, client.ErrNotFound
	}
	return o, nil
}

func (s *faultyStore) List(_ context.Context, prefix string) (client.Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isDownLocked() {
		return client.Listing{}, client.ErrUnavailable
	}
	listing := client.Listing{Revision: s.revision}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	return listing, nil
}

func (s *faultyStore) Create(_ context.Context, key string, value []byte) (int64, error) {
	return s.write(key, value, 0)
}

func (s *faultyStore) Update(_ context.Context, key string, value []byte, version int64) (int64, error) {
	return s.write(key, value, version)
}

func (s *faultyStore) write(key string, value []byte, versionBefore int64) (int64, error) {
	s.sleepRandomly()
	f := s.nextFault()
	switch f {
	case faultDown:
		return 0, client.ErrUnavailable
	case faultDownForLong, faultDownShort:
		s.beginOutage(f)
		return 0, client.ErrUnavailable
	case faultAnswerLost:
		_, _ = s.store(key, value, versionBefore)
		return 0, client.ErrOutcomeUnknown
	case faultLostThenDown:
		_, _ = s.store(key, value, versionBefore)
		s.beginOutage(faultDownForLong)
		return 0, client.ErrOutcomeUnknown
	case faultRequestLost:
		return 0, client.ErrOutcomeUnknown
	case faultLate:
		s.lateWrites.Go(func() {
			time.Sleep(lateWriteDelay)
			_, _ = s.store(key, value, versionBefore)
		})
		return 0, client.ErrOutcomeUnknown
	default:
		return s.store(key, value, versionBefore)
	}
}

func (s *faultyStore) store(key string, value []byte, versionBefore int64) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objects[key].Version != versionBefore {
		return 0, client.ErrConflict
	}
	s.revision++
	s.writes[key]++
	s.objects[key] = client.Object{Key: key, Version: s.revision, Value: value}
	return s.revision, nil
}

func (s *faultyStore) nextFault() fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isDownLocked() {
		return faultDown
	}
	if len(s.writeFaults) > 0 {
		f := s.writeFaults[0]
		s.writeFaults = s.writeFaults[1:]
		return f
	}
	if s.random != nil && s.random.Float64() < s.faultShare {
		return fault(s.random.IntN(int(faultCount)))
	}
	return faultNone
}

func (s *faultyStore) beginOutage(f fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.downUntil = time.Now().Add(shortOutage)
	if f == faultDownForLong {
		s.downUntil = time.Now().Add(longOutage)
	}
}

func (s *faultyStore) isDownLocked() bool {
	return time.Now().Before(s.downUntil)
}

// sleepRandomly spreads concurrent calls over virtual time.
func (s *faultyStore) sleepRandomly() {
	if s.random == nil {
		return
	}
	s.mutex.Lock()
	d := time.Duration(s.random.IntN(20)) * time.Millisecond
	s.mutex.Unlock()
	time.Sleep(d)
}

// waitForLateWrites waits for late writes, then ends all faults.
func (s *faultyStore) waitForLateWrites() {
	s.lateWrites.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.downUntil = time.Time{}
	s.writeFaults = nil
	s.random = nil
}

func (s *faultyStore) writesOf(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes[key]
}

func (s *faultyStore) object(key string) *pb.ConfigObject {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, err := watcher.Decode(s.objects[key])
	if err != nil {
		return &pb.ConfigObject{}
	}
	return o
}
