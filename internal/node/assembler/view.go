package assembler

import (
	"math/rand/v2"
	"net"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliastep/magnoliastep/internal/config/healer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/view/lister"
	"github.com/magnoliastep/magnoliastep/internal/view/placer"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
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
		Load: func() uint32 { return n.entry.InProgress() },
	})
	_, port, _ := net.SplitHostPort(s.GetPeerAddress())
	n.lister = lister.New(lister.Config{
		VMs: n.config.Store, Clock: n.config.Clock, Logger: n.config.Logger, Random: n.random("lister"),
		Period: t.GetListPeriod().AsDuration(), PeerPort: port, Found: n.prober.AddCandidates,
		Active: func() bool { return true },
	})
	n.healer = healer.New(healer.Config{
		Messenger: n.messenger, Keeper: n.keeper, View: n.prober, Clock: n.config.Clock,
	})
	n.placer = placer.New(placer.Config{View: n.prober, Source: n.keeper})
}

// random returns a source of its own for one part: each part draws under its own lock.
func (n *Node) random(part string) *rand.Rand {
	seed := xxhash.Sum64String(n.config.Settings.GetNodeName() + "/" + part)
	return rand.New(rand.NewPCG(seed, uint64(n.config.Clock.Now().UnixNano()))) //nolint:gosec // spreads load only
}
