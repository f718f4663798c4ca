package forwarder

import (
	"maps"

	"github.com/magnoliastep/magnoliastep/internal/records/replicator"
)

// evacuationChanged takes a zone out of service or back. An evacuation that is missing only because the store was
// restored from a copy is in force until the operator had the time to write it again.
func (n *Node) evacuationChanged(d replicator.Document) {
	n.evacuationEnds.cancel(d.Name)
	if d.Deleted && d.Restored {
		n.evacuationEnds.schedule(d.Name, orderReturnTime, func() { n.setEvacuation(d) })
		n.config.Logger.Info("zone evacuation is missing in a new era of the store", "zone", d.Name, "era", d.Era,
			"ends_in", orderReturnTime)
		return
	}
	n.setEvacuation(d)
}

// setEvacuation puts an evacuation or its end in force.
func (n *Node) setEvacuation(d replicator.Document) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if d.Deleted {
		delete(n.evacuatedZones, d.Name)
	} else {
		n.evacuatedZones[d.Name] = true
	}
	n.balancer.SetEvacuatedZones(maps.Clone(n.evacuatedZones))
	n.config.Logger.Info("zone evacuation changed", "zone", d.Name, "out_of_service", !d.Deleted, "revision", d.Revision)
}
