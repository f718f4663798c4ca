package forwarder

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
	"github.com/magnoliastep/magnoliastep/internal/rollout/conductor"
)

// newFollowingNode returns a node that is not running, to which a test applies documents of the store.
func newFollowingNode(clock quartz.Clock) *Node {
	return New(Config{
		NodeName: "n1", AvailabilityZone: "z1", Clock: clock, Metrics: metrics.NewSet(), CPUShare: 1,
		PeerAddress: "127.0.0.1:9", Store: fakeStore{}, Decoder: fakeDecoder{},
		DecodeRollout: func(d replicator.Document) (conductor.Order, error) {
			return conductor.Order{Service: d.Name, TargetVersion: "v2", Duration: time.Hour, Revision: d.Revision}, nil
		},
		Kinds: Kinds{
			Configuration: "configuration", Leaves: "leaves", Evacuations: "evacuations", Nodes: "nodes",
			Rollouts: "rollouts",
		},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// Guards against an evacuation that ends because the store was restored from a copy without it, although the operator
// is about to write it again, and against one that never ends because the operator has taken it back meanwhile.
func TestEvacuationThatCopyLacksHoldsUntilItCouldBeWrittenAgain(t *testing.T) {
	for name, writtenAgain := range map[string]bool{"written again": true, "taken back": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := quartz.NewMock(t)
			n := newFollowingNode(clock)
			isEvacuated := func() bool {
				n.mutex.Lock()
				defer n.mutex.Unlock()
				return n.evacuatedZones["z2"]
			}
			evacuation := replicator.Document{Kind: "evacuations", Name: "z2", Revision: 5, Data: []byte("{}")}
			n.replicator.ApplyList("evacuations", []replicator.Document{evacuation}, replicator.Point{Era: 3, Revision: 9},
				clock.Now())
			is.True(isEvacuated())
			restored := replicator.Point{Era: 4, Revision: 4}
			n.replicator.ApplyList("evacuations", nil, restored, clock.Now())
			clock.Advance(orderReturnTime - time.Second).MustWait(t.Context())
			is.True(isEvacuated())
			if writtenAgain {
				n.replicator.ApplyChanges("evacuations", restored, []replicator.Document{evacuation},
					replicator.Point{Era: 4, Revision: 5}, clock.Now())
			}
			clock.Advance(time.Second).MustWait(t.Context())
			clock.Advance(time.Minute).MustWait(t.Context())
			is.Equal(isEvacuated(), writtenAgain)
			gone := replicator.Point{Era: 4, Revision: 6}
			n.replicator.ApplyChanges("evacuations", n.replicator.Position("evacuations").Point(),
				[]replicator.Document{{Kind: "evacuations", Name: "z2", Revision: 6, Deleted: true}}, gone, clock.Now())
			is.True(!isEvacuated()) // taken back in the new era: at once
		})
	}
}
