// Package directory tells callers which addresses to use. The live view and the zones in service flow
// in, a weighted list of entries flows out together with how long it may be kept.
package directory

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/magnoliastep/magnoliastep/internal/config/indexer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	fullWeight = 100
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

// Entries returns the addresses that callers may use now.
func (d *Directory) Entries() *pb.EntriesAnswer {
	index := d.config.Source.Index()
	answer := &pb.EntriesAnswer{
		Code:    pb.ResultCode_RESULT_CODE_OK,
		KeepFor: durationpb.New(d.config.KeepFor),
	}
	for _, m := range d.config.View.Members() {
		if index.Zone(m.GetAvailabilityZone()).GetOutOfService() {
			continue
		}
		answer.Entries = append(answer.Entries, &pb.Entry{
			Address:          m.GetCallerAddress(),
			AvailabilityZone: m.GetAvailabilityZone(),
			Weight:           fullWeight,
		})
	}
	return answer
}
