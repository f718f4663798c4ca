package gossiper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against nodes that take leaves for gone whose entries expired in an outage of the store: a node that learns of
// the missing entries from another one must learn that calls to the store had failed, too, and not as younger than they
// are.
func TestFailedCallsOfStoreAreLearnedWithDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 91)
		f.monitor["node-0"].RecordFailure(kind)
		failedAt := time.Now()
		time.Sleep(time.Second)
		f.applyFromStore(7)
		time.Sleep(200 * time.Millisecond)
		for _, name := range f.names {
			is.Equal(f.replica[name].Position(kind).Revision, int64(7))
			learned := f.monitor[name].FailedAt(kind)
			is.True(!learned.After(failedAt) && failedAt.Sub(learned) < 200*time.Millisecond)
		}
		cancel()
		time.Sleep(time.Second) // lets the goroutines end
	})
}
