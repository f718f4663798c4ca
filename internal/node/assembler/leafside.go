package assembler

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/dispatcher"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
)

// assembleLeafSide builds what serves the leaves that this node owns.
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
	n.dispatcher = dispatcher.New(dispatcher.Config{
		NodeName: n.config.Settings.GetNodeName(), Source: n.keeper, Owners: n.placer, Clock: n.config.Clock,
		Asserter: n.asserter, Logger: n.config.Logger, NewSender: newSender,
		StatusPeriod: n.config.Settings.GetTimings().GetLeafStatusPeriod().AsDuration(),
	})
}
