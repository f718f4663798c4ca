// Package directory tells callers which addresses to use. The live view and the zones in service flow
// in, a weighted list of entries flows out together with how long it may be kept. A node with more
// requests in progress than the others gets a smaller weight; the weights move little, so that callers
// do not all run to the same node. When no node is fit, the next best ones are named: an empty list
// would be a refusal.
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
	// usualLoad in requests damps the weights of nodes with little load.
	usualLoad = 16
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

	// Directory lists entries. It is safe for concurrent use.
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
	members := d.fit()
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

// fit returns the unsuspected members of zones in service; without any, those of zones in service;
// without any, all.
func (d *Directory) fit() []*pb.Member {
	index := d.config.Source.Index()
	members := d.config.View.Members()
	var inService, sound []*pb.Member
	for _, m := range members {
		if index.Zone(m.GetAvailabilityZone()).GetOutOfService() {
			continue
		}
		inService = append(inService, m)
		if m.GetState() != pb.MemberState_MEMBER_STATE_SUSPECT {
			sound = append(sound, m)
		}
	}
	switch {
	case len(sound) > 0:
		return sound
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
	return uint32(min(maxWeight, max(minWeight, fullWeight*(mean+usualLoad)/(load+usualLoad))))
}
