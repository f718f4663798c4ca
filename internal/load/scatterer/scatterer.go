// Package scatterer sends the fan-out of a search directly to the leaves, without the tier in between, as the
// baseline for the latency that the tier adds. It sends one call for each partition, all at once, to a
// replica drawn at random, without hedges or retries and with no limit but the connections of the leaf.
package scatterer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/leaf/sender"
)

const (
	// initialSnapshot is the snapshot that fake leaves hold from the start.
	initialSnapshot = 1
)

type (
	// Config holds what a Scatterer needs.
	Config struct {
		Services []*pb.Service
	}

	// Scatterer calls leaves directly. It is safe for concurrent use.
	Scatterer struct {
		services map[string]*pb.Service
		senders  map[string]*sender.Sender
	}
)

// New returns a Scatterer.
func New(c Config) *Scatterer {
	scatterer := &Scatterer{services: map[string]*pb.Service{}, senders: map[string]*sender.Sender{}}
	for _, s := range c.Services {
		scatterer.services[s.GetName()] = s
		for _, l := range s.GetLeaves() {
			scatterer.senders[l.GetName()] = sender.New(sender.Config{
				Address: l.GetAddress(), Connections: int(l.GetConnections()),
			})
		}
	}
	return scatterer
}

// SendRequest sends one fan-out and returns the code and how many of the partitions answered.
func (s *Scatterer) SendRequest(ctx context.Context, load *pb.ClassLoad, class *pb.Class) (string, int, int) {
	ctx, cancel := context.WithTimeout(ctx, class.GetLateness().AsDuration())
	defer cancel()
	service := s.services[load.GetService()]
	id := uuid.Must(uuid.NewV7()).String()
	var included atomic.Int32
	var calls sync.WaitGroup
	for p := range service.GetPartitionCount() {
		l := drawReplica(service, p)
		calls.Go(func() {
			_, err := s.senders[l.GetName()].Send(ctx, sender.Call{
				Path: sender.PathSearch, RequestID: id, Snapshot: initialSnapshot, Partition: p, Attempt: 1,
				TimeLeft: class.GetLateness().AsDuration(), Body: load.GetQuery(),
			})
			if err == nil {
				included.Add(1)
			}
		})
	}
	calls.Wait()
	asked := int(service.GetPartitionCount())
	code := pb.ResultCode_RESULT_CODE_OK
	if int(included.Load()) < asked {
		code = pb.ResultCode_RESULT_CODE_PARTIAL
	}
	return code.String(), int(included.Load()), asked
}

// drawReplica returns a leaf drawn at random from those that hold the partition.
func drawReplica(s *pb.Service, partition uint32) *pb.Leaf {
	var chosen *pb.Leaf
	candidates := 0
	for _, l := range s.GetLeaves() {
		for _, p := range l.GetPartitions() {
			if p != partition {
				continue
			}
			candidates++
			if rand.IntN(candidates) == 0 { //nolint:gosec // spread of load
				chosen = l
			}
		}
	}
	return chosen
}
