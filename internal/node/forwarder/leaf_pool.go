package forwarder

import (
	"time"

	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// leafPool is the pool of leaves as the enroller fills it. The times of the node's clock are not comparable to those at
// which leaves are called once the time of day has been changed, so an entry counts from the time at which it is put.
type leafPool struct {
	*balancer.Balancer
}

// Put adds or updates the leaf of an entry.
func (p leafPool) Put(e balancer.Entry, _ time.Time) {
	p.Balancer.Put(e, time.Now())
}
