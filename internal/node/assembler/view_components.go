package assembler

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliastep/magnoliastep/internal/config/relayer"
	"github.com/magnoliastep/magnoliastep/internal/config/repairer"
	"github.com/magnoliastep/magnoliastep/internal/config/watcher"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/placer"
	"github.com/magnoliastep/magnoliastep/internal/view/lister"
	"github.com/magnoliastep/magnoliastep/internal/view/prober"
)

const (
	joinedRetryPause   = 5 * time.Second
	unjoinedRetryPause = 15 * time.Second
)

// assembleView constructs membership, placement of leaves, and distribution and repair of configuration.
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
		Asserter: n.asserter, Metrics: n.metrics, Random: n.newRandom("prober"),
		ProbePeriod: t.GetProbePeriod().AsDuration(), ProbeTimeout: t.GetProbeTimeout().AsDuration(),
		SuspicionPeriod: t.GetSuspicionPeriod().AsDuration(), SeedPeers: s.GetSeedPeers(),
		Load: func() uint32 { return n.entry.InProgress() }, OnDeath: n.messenger.CloseLink,
	})
	_, port, _ := net.SplitHostPort(s.GetPeerAddress())
	n.lister = lister.New(lister.Config{
		VMs: n.newObservedVMLister(), Clock: n.config.Clock, Logger: n.config.Logger, Random: n.newRandom("lister"),
		Period: t.GetListPeriod().AsDuration(), PeerPort: port, OnAddresses: n.prober.AddCandidates,
		// Every node reads the list, because the witnesses of non-idempotent requests must agree on it.
		Active: func() bool { return true },
	})
	n.repairer = repairer.New(repairer.Config{
		Messenger: n.messenger, Keeper: n.keeper, View: n.prober, Clock: n.config.Clock,
		RepairPeriod: t.GetRepairPeriod().AsDuration(), Metrics: n.metrics,
	})
	n.relayer = relayer.New(relayer.Config{
		NodeName: s.GetNodeName(), AvailabilityZone: s.GetAvailabilityZone(), Messenger: n.messenger,
		View: n.prober, Keeper: n.keeper, LeavingVMs: n.lister, Clock: n.config.Clock, Logger: n.config.Logger,
		Random: n.newRandom("relayer"), Metrics: n.metrics,
	})
	n.watcher = watcher.New(watcher.Config{
		Store: n.config.Store, Keeper: n.keeper, Clock: n.config.Clock, Logger: n.config.Logger,
		Active: n.relayer.IsRelay, MaxRetryPause: n.maxPlatformRetryPause,
	})
	n.placer = placer.New(placer.Config{View: n.prober, Source: n.keeper})
}

// maxPlatformRetryPause bounds the pause between attempts to reach the platform. A node that knows no other
// node waits longer, because after a restart of all nodes each of them starts without peers and all of them
// would call the platform at once.
func (n *Node) maxPlatformRetryPause() time.Duration {
	if n.prober.Joined() {
		return joinedRetryPause
	}
	return unjoinedRetryPause
}

// newRandom returns a random source for one component. Components do not share one, because each uses its source
// under its own lock.
func (n *Node) newRandom(component string) *rand.Rand {
	seed := xxhash.Sum64String(n.config.Settings.GetNodeName() + "/" + component)
	return rand.New(rand.NewPCG(seed, uint64(n.config.Clock.Now().UnixNano()))) //nolint:gosec // spreads load only
}
