// Package directory lists the nodes that callers may send requests to, with weights and the time for which
// the list may be kept. It uses the live members and the availability zones in service. A node with more
// requests in progress than the others gets a lower weight; the range of weights is narrow, so that callers
// do not all move to the same node. When no node is eligible, the next best ones are listed, because an empty
// list would amount to a refusal.
package directory

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	fullWeight = 100
	minWeight  = 50
	maxWeight  = 200
	// loadOffset, in requests, is added to every load, so that small differences at low load hardly change
	// the weights.
	loadOffset = 16
)

type (
	// View lists the live nodes.
	View interface {
		Members() []*pb.Member
	}

	// ConfigSource returns the configuration in force.
	ConfigSource interface {
		Index() *indexer.Index
	}

	// Config holds what a Directory needs.
	Config struct {
		View    View
		Source  ConfigSource
		KeepFor time.Duration
	}

	// Directory lists the entries for callers. It is safe for concurrent use.
	Directory struct {
		config Config
	}
)

// New returns a Directory.
func New(c Config) *Directory {
	return &Directory{config: c}
}

// Entries returns the addresses that callers may use now, ordered by node name.
func (d *Directory) Entries() *pb.EntriesAnswer {
	answer := &pb.EntriesAnswer{
		Code:    pb.ResultCode_RESULT_CODE_OK,
		KeepFor: durationpb.New(d.config.KeepFor),
	}
	members := d.eligibleMembers()
	mean := meanLoad(members)
	for _, m := range members {
		answer.Entries = append(answer.Entries, &pb.Entry{
			Address:          m.GetCallerAddress(),
			AvailabilityZone: m.GetAvailabilityZone(),
			Weight:           weight(float64(m.GetLoad()), mean),
		})
	}
	return answer
}

// eligibleMembers returns the members in zones in service that are not suspect. When there are none, it
// returns all members in zones in service, and when there are none of those either, all members.
func (d *Directory) eligibleMembers() []*pb.Member {
	index := d.config.Source.Index()
	members := d.config.View.Members()
	var inService, notSuspect []*pb.Member
	for _, m := range members {
		if index.Zone(m.GetAvailabilityZone()).GetOutOfService() {
			continue
		}
		inService = append(inService, m)
		if m.GetState() != pb.MemberState_MEMBER_STATE_SUSPECT {
			notSuspect = append(notSuspect, m)
		}
	}
	switch {
	case len(notSuspect) > 0:
		return notSuspect
	case len(inService) > 0:
		return inService
	default:
		return members
	}
}

func meanLoad(members []*pb.Member) float64 {
	sum := 0.0
	for _, m := range members {
		sum += float64(m.GetLoad())
	}
	return sum / float64(max(1, len(members)))
}

func weight(load, mean float64) uint32 {
	return uint32(min(maxWeight, max(minWeight, fullWeight*(mean+loadOffset)/(load+loadOffset))))
}
