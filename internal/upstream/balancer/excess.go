package balancer

import "time"

// noteExcess is called when a leaf has sent more bytes than an answer may have.
func (b *Balancer) noteExcess(e Entry) {
	if b.config.OnExcessBytes != nil {
		b.config.OnExcessBytes()
	}
	b.mutex.Lock()
	l := b.leaves[e.ID]
	b.mutex.Unlock()
	b.config.Logger.Warn("leaf sent more bytes than an answer may have", "leaf", e.ID, "service", e.Service,
		"address", e.Address, "left_alone", l != nil && l.exchanger.LeftAlone(time.Now()))
}

// LeftAlone returns how many usable leaves get no requests because several of their answers in a row were too long.
func (b *Balancer) LeftAlone(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, leaves := range b.usable {
		for _, l := range leaves {
			if l.exchanger.LeftAlone(now) {
				count++
			}
		}
	}
	return count
}
