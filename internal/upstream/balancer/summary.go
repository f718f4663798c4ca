package balancer

// Summary describes the leaves that may be called.
func (b *Balancer) Summary() Summary {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.summary == nil {
		b.summary = b.summarizeLocked()
	}
	return *b.summary
}

func (b *Balancer) summarizeLocked() *Summary {
	s := &Summary{ByZone: map[string]int{}}
	bySlots := map[int]int{}
	for _, leaves := range b.usable {
		for _, l := range leaves {
			s.ByZone[l.entry.Zone]++
			bySlots[l.entry.Slots]++
		}
	}
	for slots, count := range bySlots {
		if count > bySlots[s.Slots] || count == bySlots[s.Slots] && slots < s.Slots {
			s.Slots = slots
		}
	}
	return s
}
