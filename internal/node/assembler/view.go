package assembler

import (
	"github.com/magnoliastep/magnoliastep/internal/config/healer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
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
		Lister:      n.newListTee(),
		ProbePeriod: t.GetProbePeriod().AsDuration(), ProbeTimeout: t.GetProbeTimeout().AsDuration(),
		SuspicionPeriod: t.GetSuspicionPeriod().AsDuration(), ListPeriod: t.GetListPeriod().AsDuration(),
		SeedPeers: s.GetSeedPeers(), Load: func() uint32 { return n.entry.InProgress() },
	})
	n.healer = healer.New(healer.Config{
		Messenger: n.messenger, Keeper: n.keeper, View: n.prober, Clock: n.config.Clock,
	})
	n.placer = placer.New(placer.Config{View: n.prober, Source: n.keeper})
}
