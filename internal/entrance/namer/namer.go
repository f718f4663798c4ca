// Package namer tells callers which addresses to use. The live view flows in; the addresses that a caller of
// an availability zone should use flow out. Nodes that are suspected or leaving are not named while others
// are there; the list is empty only on a node that knows no live node at all.
package namer

import (
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// maxAddresses is how many addresses one answer names.
	maxAddresses = 64
	// wantedInZone is how many live nodes of the caller's zone are enough to name only these.
	wantedInZone = 2
)

type (
	// View lists the nodes that may be given work.
	View interface {
		Members() []*pb.Member
	}

	// Config holds what a Namer needs.
	Config struct {
		View View
		// KeepFor is how long callers may keep an answer.
		KeepFor time.Duration
	}

	// Namer names addresses. It is safe for concurrent use.
	Namer struct {
		config Config
	}
)

// New returns a Namer.
func New(c Config) *Namer {
	return &Namer{config: c}
}

// Addresses returns the addresses for a caller in an availability zone, and how long it may keep them.
func (n *Namer) Addresses(zone string) ([]string, time.Duration) {
	var near, live, suspected []string
	for _, m := range n.config.View.Members() {
		switch {
		case m.GetCallerAddress() == "":
		case m.GetState() != pb.MemberState_MEMBER_STATE_ALIVE:
			suspected = append(suspected, m.GetCallerAddress())
		default:
			live = append(live, m.GetCallerAddress())
			if m.GetAvailabilityZone() == zone {
				near = append(near, m.GetCallerAddress())
			}
		}
	}
	addresses := live
	if len(near) >= wantedInZone {
		addresses = near
	}
	if len(addresses) == 0 {
		addresses = suspected
	}
	return addresses[:min(len(addresses), maxAddresses)], n.config.KeepFor
}
