package leaser

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// requestBatches collects the requests that are due, one for each receiving node.
	requestBatches struct {
		pending []Request
	}
)

func (b *requestBatches) add(to *pb.Member, leaf string, c *claim, now time.Time) {
	index := -1
	for i, q := range b.pending {
		if q.To.GetName() == to.GetName() {
			index = i
		}
	}
	if index < 0 {
		index = len(b.pending)
		b.pending = append(b.pending, Request{To: to, Body: &pb.TenureRequest{}})
	}
	body := b.pending[index].Body
	body.Leaves = append(body.Leaves, leaf)
	if now.Before(c.expiresAt) && c.granter.GetName() == to.GetName() {
		body.Renewals = append(body.Renewals, leaf)
	}
}

func (b *requestBatches) requests(now time.Time, l *Leaser) []Request {
	for i := range b.pending {
		b.pending[i].sentAt = now
		b.pending[i].epoch = l.epoch
		b.pending[i].Body.Duration = durationpb.New(l.config.Tenure)
		b.pending[i].Body.StartedAt = l.startedAt.UnixNano()
	}
	return b.pending
}
