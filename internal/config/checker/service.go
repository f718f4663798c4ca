package checker

import (
	"slices"

	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	maxPartitions = 100_000
)

func (k *Checker) checkService(r *fieldReport, s *pb.Service) {
	k.checkName(r, "name", s.GetName())
	if s.GetPartitionCount() < 1 || s.GetPartitionCount() > maxPartitions {
		r.add("partition_count", "must be from 1 to %d, not %d", maxPartitions, s.GetPartitionCount())
	}
	r.checkShare("extra_call_budget", s.GetExtraCallBudget())
	if len(s.GetDirectors()) == 0 {
		r.add("directors", "must name at least one")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, l := range s.GetLeaves() {
		k.checkLeaf(r, i, l, s.GetPartitionCount())
		checkUnique(r, names, elementPath("leaves", i, "name"), l.GetName())
		checkUnique(r, addresses, elementPath("leaves", i, "address"), l.GetAddress())
	}
	checkPartitionsHeld(r, s)
}

func (k *Checker) checkLeaf(r *fieldReport, i int, l *pb.Leaf, partitions uint32) {
	k.checkName(r, elementPath("leaves", i, "name"), l.GetName())
	k.checkName(r, elementPath("leaves", i, "availability_zone"), l.GetAvailabilityZone())
	r.checkAddress(elementPath("leaves", i, "address"), l.GetAddress())
	if l.GetSlots() < 1 {
		r.add(elementPath("leaves", i, "slots"), "must be at least 1")
	}
	if l.GetColdSlots() < 1 || l.GetColdSlots() > l.GetSlots() {
		r.add(elementPath("leaves", i, "cold_slots"), "must be from 1 to slots (%d), not %d", l.GetSlots(), l.GetColdSlots())
	}
	if l.GetConnections() < l.GetSlots() {
		r.add(elementPath("leaves", i, "connections"), "must be at least slots (%d), not %d",
			l.GetSlots(), l.GetConnections())
	}
	if d := l.GetConnectCost(); d != nil && (!d.IsValid() || d.AsDuration() < 0) {
		r.add(elementPath("leaves", i, "connect_cost"), "must be a duration of at least 0")
	}
	seen := map[uint32]bool{}
	for j, p := range l.GetPartitions() {
		path := elementPath(elementPath("leaves", i, "partitions"), j, "")
		if p >= partitions {
			r.add(path, "must be below partition_count (%d), not %d", partitions, p)
		}
		if seen[p] {
			r.add(path, "partition %d is given more than once", p)
		}
		seen[p] = true
	}
}

// checkPartitionsHeld reports each partition that no leaf holds.
func checkPartitionsHeld(r *fieldReport, s *pb.Service) {
	held := map[uint32]bool{}
	for _, l := range s.GetLeaves() {
		for _, p := range l.GetPartitions() {
			held[p] = true
		}
	}
	for p := range min(s.GetPartitionCount(), maxPartitions) {
		if !held[p] {
			r.add("leaves", "no leaf holds partition %d", p)
		}
	}
}

func checkUnique(r *fieldReport, seen map[string]bool, path, value string) {
	if seen[value] {
		r.add(path, "%q is given more than once", value)
	}
	seen[value] = true
}

func (k *Checker) checkServiceReferences(r *fieldReport, s *pb.Service) {
	leaves, addresses := k.leavesOfOtherServices(s.GetName())
	for i, l := range s.GetLeaves() {
		k.checkExists(r, elementPath("leaves", i, "availability_zone"),
			keyer.Join(keyer.KindAvailabilityZone, l.GetAvailabilityZone()))
		if other := leaves[l.GetName()]; other != "" {
			r.add(elementPath("leaves", i, "name"), "service %s has a leaf %q too", other, l.GetName())
		}
		if other := addresses[l.GetAddress()]; other != "" {
			r.add(elementPath("leaves", i, "address"), "service %s has a leaf at %s too", other, l.GetAddress())
		}
	}
	for i, d := range s.GetDirectors() {
		key := keyer.Join(keyer.KindOperator, d)
		if k.checkExists(r, elementPath("directors", i, ""), key) {
			checkIsDirector(r, elementPath("directors", i, ""), k.objects[key].GetOperator())
		}
	}
}

func checkIsDirector(r *fieldReport, path string, o *pb.Operator) {
	if !slices.Contains(o.GetRoles(), pb.Role_ROLE_DIRECTOR) {
		r.add(path, "operator %s lacks ROLE_DIRECTOR", o.GetName())
	}
}

// leavesOfOtherServices maps the leaf names and leaf addresses of all services except the named one to the
// names of their services.
func (k *Checker) leavesOfOtherServices(service string) (names, addresses map[string]string) {
	names, addresses = map[string]string{}, map[string]string{}
	for _, key := range k.keys {
		other := k.objects[key].GetService()
		if other == nil || other.GetName() == service {
			continue
		}
		for _, l := range other.GetLeaves() {
			names[l.GetName()] = other.GetName()
			addresses[l.GetAddress()] = other.GetName()
		}
	}
	return names, addresses
}
