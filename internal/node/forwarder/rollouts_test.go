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

// Guards against a version that was found bad and gets requests again because the store was restored from a copy
// without its order, and against an order that never ends because the operator has removed it meanwhile.
func TestOrderThatCopyLacksHoldsUntilItCouldBeWrittenAgain(t *testing.T) {
	for name, writtenAgain := range map[string]bool{"written again": true, "removed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := quartz.NewMock(t)
			n := New(Config{
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
