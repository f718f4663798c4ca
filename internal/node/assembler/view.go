package assembler

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliastep/magnoliastep/internal/config/healer"
	"github.com/magnoliastep/magnoliastep/internal/config/relayer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/placer"
	"github.com/magnoliastep/magnoliastep/internal/view/lister"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
)

const (
	relayPause = 5 * time.Second
	alonePause = 15 * time.Second
)

// assembleView builds the membership, the placement of leaves and the repair of configuration.
func (n *Node) assembleView() {
	s := n.config.Settings
	t := s.GetTimings()
	n.prober = prober.New(prober.Config{
		Self: &pb.Member{
			Name: s.GetNodeName(), AvailabilityZone: s.GetAvailabilityZone(), Region: s.GetRegion(),
			PeerAddress: s.GetPeerAddress(), CallerAddress: s.GetCallerAddress(),
			StartedAt: n.config.Clock.Now().UnixNano(), Incarnation: 1,
		},
		Messenger: n.messenger, Clock: n.config.Clock, Logger: n.config.Logger,
		Asserter: n.asserter, Metrics: n.metrics, Random: n.random("prober"),
		ProbePeriod: t.GetProbePeriod().AsDuration(), ProbeTimeout: t.GetProbeTimeout().AsDuration(),
		SuspicionPeriod: t.GetSuspicionPeriod().AsDuration(), SeedPeers: s.GetSeedPeers(),
		Load: func() uint32 { return n.entry.InProgress() }, Dead: n.messenger.Drop,
	})
	_, port, _ := net.SplitHostPort(s.GetPeerAddress())
	n.lister = lister.New(lister.Config{
		VMs: n.newListTee(), Clock: n.config.Clock, Logger: n.config.Logger, Random: n.random("lister"),
		Period: t.GetListPeriod().AsDuration(), PeerPort: port, Found: n.prober.AddCandidates,
		// Every node reads the list, because the witnesses of non-idempotent requests must agree on it.
		Active: func() bool { return true },
	})
	n.healer = healer.New(healer.Config{
		Messenger: n.messenger, Keeper: n.keeper, View: n.prober, Clock: n.config.Clock,
		RepairPeriod: t.GetRepairPeriod().AsDuration(), Metrics: n.metrics,
	})
	n.relayer = relayer.New(relayer.Config{
		NodeName: s.GetNodeName(), AvailabilityZone: s.GetAvailabilityZone(), Messenger: n.messenger,
		View: n.prober, Keeper: n.keeper, LeavingVMs: n.lister, Clock: n.config.Clock, Logger: n.config.Logger,
		Random: n.random("relayer"), Metrics: n.metrics,
	})
	n.watcher = watcher.New(watcher.Config{
		Store: n.config.Store, Keeper: n.keeper, Clock: n.config.Clock, Logger: n.config.Logger,
		Active: n.relayer.IsRelay, MaxPause: n.platformPause,
	})
	n.placer = placer.New(placer.Config{View: n.prober, Source: n.keeper})
}

// platformPause bounds the pause between attempts to reach the platform. A node that knows no other one
// waits longer: after a restart of all nodes every one of them is alone at first.
func (n *Node) platformPause() time.Duration {
	if n.prober.Joined() {
		return relayPause
	}
	return alonePause
}

// random returns a source of its own for one part: each part draws under its own lock.
func (n *Node) random(part string) *rand.Rand {
	seed := xxhash.Sum64String(n.config.Settings.GetNodeName() + "/" + part)
	return rand.New(rand.NewPCG(seed, uint64(n.config.Clock.Now().UnixNano()))) //nolint:gosec // spreads load only
}
