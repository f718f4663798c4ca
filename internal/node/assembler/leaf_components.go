package assembler

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/dispatcher"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
	"github.com/magnoliastep/magnoliastep/internal/peer/router"
	"github.com/magnoliastep/magnoliastep/internal/view/leaser"
)

const (
	checksPerTenure = 10 // checks of the tenures in the duration of one tenure
)

// assembleLeafSide constructs the dispatcher of calls to the leaves that this node owns.
func (n *Node) assembleLeafSide() {
	newSender := n.config.NewSender
	if newSender == nil {
		newSender = func(l *pb.Leaf) dispatcher.LeafSender {
			return sender.New(sender.Config{
				Address: l.GetAddress(), Connections: int(l.GetConnections()),
				MaxAnswerBytes: int(n.config.Settings.GetCallerLimits().GetMaxLeafAnswerBytes()),
			})
		}
	}
	name := n.config.Settings.GetNodeName()
	t := n.config.Settings.GetTimings()
	n.dispatcher = dispatcher.New(dispatcher.Config{
		NodeName: name, Source: n.keeper, OwnerRanking: n.placer, Peers: n.messenger,
		Tenure: leaser.New(leaser.Config{
			NodeName: name, Ranks: n.placer, Clock: n.config.Clock, Tenure: t.GetTenure().AsDuration(),
			Asserter: n.asserter,
		}),
		Forwarder: router.New(router.Config{NodeName: name, Messenger: n.messenger}), LeavingVMs: n.lister,
		Clock: n.config.Clock, Asserter: n.asserter, Logger: n.config.Logger, Metrics: n.metrics,
		NewSender: newSender, StatusPeriod: t.GetLeafStatusPeriod().AsDuration(),
		TenurePeriod: t.GetTenure().AsDuration() / checksPerTenure,
	})
}
