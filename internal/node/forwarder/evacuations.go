package forwarder

import (
	"maps"
	"time"

	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// evacuationReturnTime is how long a zone stays out of service when the store was restored from a copy that does not
// have its evacuation. It is over twice the time in which leaves write their entries again.
const evacuationReturnTime = 5 * time.Second

// evacuationChanged takes a zone out of service or back. An evacuation that is missing only because the store was
// restored from a copy is in force until the operator had the time to write it again.
func (n *Node) evacuationChanged(d replicator.Document) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if pending := n.evacuationEnds[d.Name]; pending != nil {
		pending.Stop()
		delete(n.evacuationEnds, d.Name)
	}
	if d.Deleted && d.Restored {
		var timer *quartz.Timer
		timer = n.config.Clock.AfterFunc(evacuationReturnTime, func() { n.endEvacuation(d, timer) })
		n.evacuationEnds[d.Name] = timer
		n.config.Logger.Info("zone evacuation is missing in a new era of the store", "zone", d.Name, "era", d.Era,
			"ends_in", evacuationReturnTime)
		return
	}
	n.setEvacuation(d)
}

// endEvacuation takes a zone back whose evacuation was not written again, unless it has changed since.
func (n *Node) endEvacuation(d replicator.Document, timer *quartz.Timer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.evacuationEnds[d.Name] != timer {
		return
	}
	delete(n.evacuationEnds, d.Name)
	n.setEvacuation(d)
}

// setEvacuation puts an evacuation or its end in force. The mutex is held.
func (n *Node) setEvacuation(d replicator.Document) {
	if d.Deleted {
		delete(n.evacuatedZones, d.Name)
	} else {
		n.evacuatedZones[d.Name] = true
	}
	n.balancer.SetEvacuatedZones(maps.Clone(n.evacuatedZones))
	n.config.Logger.Info("zone evacuation changed", "zone", d.Name, "out_of_service", !d.Deleted, "revision", d.Revision)
}
