package activator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/activator"
	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

const activationTime = 400 * time.Millisecond

// Guards against a node that passes a large configuration on only after it has decoded it, and decodes each of many.
func TestSlowActivationHoldsUpNothingAndSkipsSurpassedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var activated []int64
		a := activator.New(activator.Config{Clock: quartz.NewReal(), Activate: func(d replicator.Document, _ time.Time) {
			time.Sleep(activationTime)
			activated = append(activated, d.Revision)
		}})
		go a.Run(ctx)
		_, pending := a.PendingSince()
		is.True(!pending)
		startedAt := time.Now()
		for revision := int64(1); revision <= 10; revision++ {
			a.Add(replicator.Document{Revision: revision}, time.Time{})
			synctest.Wait()
		}
		is.Equal(time.Since(startedAt), time.Duration(0)) // no caller had to wait
		since, pending := a.PendingSince()
		is.True(pending) // the version in force is known not to be the newest
		is.Equal(since, startedAt)
		time.Sleep(2*activationTime + time.Millisecond)
		synctest.Wait()
		is.Equal(activated, []int64{1, 10})
		_, pending = a.PendingSince()
		is.True(!pending)
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that forgets for how long its version has been surpassed when newer ones arrive meanwhile.
func TestPendingTimeCountsFromFirstVersionThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := activator.New(activator.Config{Clock: quartz.NewReal(), Activate: func(replicator.Document, time.Time) {}})
		startedAt := time.Now()
		for revision := int64(1); revision <= 3; revision++ {
			a.Add(replicator.Document{Revision: revision}, time.Time{})
			time.Sleep(time.Second)
		}
		since, pending := a.PendingSince()
		is.True(pending)
		is.Equal(since, startedAt)
	})
}

// Guards against a version of the configuration that is dropped because another document of its kind changes after it.
func TestOtherDocumentDoesNotReplaceVersionThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var activated []string
		a := activator.New(activator.Config{Clock: quartz.NewReal(), Activate: func(d replicator.Document, _ time.Time) {
			activated = append(activated, d.Name)
		}})
		a.Add(replicator.Document{Name: "main", Revision: 1}, time.Time{})
		a.Add(replicator.Document{Name: "other", Revision: 2}, time.Time{})
		go a.Run(ctx)
		synctest.Wait()
		is.Equal(activated, []string{"main", "other"})
		cancel()
		synctest.Wait()
	})
}
