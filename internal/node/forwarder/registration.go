package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
)

const (
	// registerDelay is the time before each attempt to register this node in the store. The view is complete by the first.
	registerDelay = 3 * time.Second
	// maxReregisterDelay bounds the random delay before this node registers again in a new era of the store, of which all
	// nodes learn at the same time.
	maxReregisterDelay = 10 * time.Second
)

// register writes this node's address into the store once it serves callers, so that nodes which start later find a
// live node when all seeds are gone. It does so again in each new era of the store, whose copy may lack the address.
func (n *Node) register(ctx context.Context) {
	data, err := json.Marshal(nodeRecord{PeerAddress: n.config.PeerAddress})
	if err != nil {
		n.config.Logger.Error("node record can't be encoded", "error", err)
		return
	}
	registered, registeredIn := false, int64(0)
	for sleeper.Sleep(ctx, n.config.Clock, registerDelay); ctx.Err() == nil; sleeper.Sleep(ctx, n.config.Clock,
		registerDelay) {
		era := n.storeEra()
		if registered && era == registeredIn {
			continue
		}
		if _, serves := n.selector.CountServing(n.config.NodeName); !serves {
			continue
		}
		if registered {
			//nolint:gosec // spreads load only
			sleeper.Sleep(ctx, n.config.Clock, rand.N(maxReregisterDelay))
		}
		failure := n.config.Store.Put(ctx, n.config.Kinds.Nodes, n.config.NodeName, data)
		if failure != nil {
			n.config.Logger.Info("node not registered in the store; trying again", "era", era, "error", failure)
			continue
		}
		if registered {
			n.config.Logger.Info("node registered again in a new era of the store", "era", era, "former_era", registeredIn)
		}
		registered, registeredIn = true, era
	}
}

// storeEra returns the newest era of the store of which this node has documents.
func (n *Node) storeEra() int64 {
	era := int64(0)
	for _, k := range []string{n.config.Kinds.Configuration, n.config.Kinds.Leaves, n.config.Kinds.Evacuations} {
		era = max(era, n.replicator.Position(k).Era)
	}
	return era
}
