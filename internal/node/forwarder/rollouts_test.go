package forwarder

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// Guards against a version that was found bad and gets requests again because the store was restored from a copy
// without its order, and against an order that never ends because the operator has removed it meanwhile.
func TestOrderThatCopyLacksHoldsUntilItCouldBeWrittenAgain(t *testing.T) {
	for name, writtenAgain := range map[string]bool{"written again": true, "removed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := quartz.NewMock(t)
			n := newFollowingNode(clock)
			order := replicator.Document{Kind: "rollouts", Name: "s", Revision: 5, Data: []byte("{}")}
			n.replicator.ApplyList("rollouts", []replicator.Document{order}, replicator.Point{Era: 3, Revision: 9}, clock.Now())
			is.True(n.conductor.Active())
			restored := replicator.Point{Era: 4, Revision: 4}
			n.replicator.ApplyList("rollouts", nil, restored, clock.Now())
			clock.Advance(orderReturnTime - time.Second).MustWait(t.Context())
			is.True(n.conductor.Active())
			if writtenAgain {
				n.replicator.ApplyChanges("rollouts", restored, []replicator.Document{order},
					replicator.Point{Era: 4, Revision: 5}, clock.Now())
			}
			clock.Advance(time.Second).MustWait(t.Context())
			is.Equal(n.conductor.Active(), writtenAgain)
		})
	}
}
