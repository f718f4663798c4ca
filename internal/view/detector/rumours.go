package detector

import (
	"cmp"
	"math"
	"slices"
	"strings"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// Everything returns the claims about this node and all others it knows, dead ones included.
func (d *Detector) Everything() []*pb.Member {
	all := []*pb.Member{d.self}
	for _, n := range d.sortedNames() {
		all = append(all, d.records[n].claim)
	}
	return all
}

// Rumours returns the claims to put into a message to the address: first this node's own, then the one about the
// receiver unless that is alive, so that it can refute it, then the queued rumours sent least often so far.
func (d *Detector) Rumours(address string) []*pb.Member {
	rumours := []*pb.Member{d.self}
	receiver := d.nameByAddress[address]
	if r := d.records[receiver]; r != nil && !acceptsWork(r.claim) {
		rumours = append(rumours, r.claim)
	}
	for _, n := range d.leastSent(maxRumours) {
		if n != receiver {
			rumours = append(rumours, d.records[n].claim)
		}
		d.transmissionsLeft[n]--
		if d.transmissionsLeft[n] <= 0 {
			delete(d.transmissionsLeft, n)
		}
	}
	return rumours
}

// leastSent returns the names of up to count members whose queued rumours have the most transmissions left.
func (d *Detector) leastSent(count int) []string {
	names := make([]string, 0, count+1)
	byTransmissionsLeft := func(a, b string) int {
		return cmp.Or(cmp.Compare(d.transmissionsLeft[b], d.transmissionsLeft[a]), strings.Compare(a, b))
	}
	for n := range d.transmissionsLeft {
		if len(names) == count && byTransmissionsLeft(names[count-1], n) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(names, n, byTransmissionsLeft)
		names = slices.Insert(names, at, n)
		names = names[:min(len(names), count)]
	}
	return names
}

// queueRumour schedules the claim about the member for gossip.
func (d *Detector) queueRumour(name string) {
	d.transmissionsLeft[name] = rumourRepeatFactor * int(math.Ceil(math.Log2(float64(len(d.records)+2))))
}

func (d *Detector) sortedNames() []string {
	names := make([]string, 0, len(d.records))
	for n := range d.records {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
