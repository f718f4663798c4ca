package tenant

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// batches groups the requests that are due by the node that is asked.
	batches struct {
		list []Request
	}
)

func (b *batches) add(to *pb.Member, leaf string, c *claim, now time.Time) {
	at := -1
	for i, q := range b.list {
		if q.To.GetName() == to.GetName() {
			at = i
		}
	}
	if at < 0 {
		at = len(b.list)
		b.list = append(b.list, Request{To: to, Body: &pb.TenureRequest{}})
	}
	body := b.list[at].Body
	body.Leaves = append(body.Leaves, leaf)
	if now.Before(c.until) && c.granter.GetName() == to.GetName() {
		body.Renewals = append(body.Renewals, leaf)
	}
}

func (b *batches) requests(now time.Time, t *Tenant) []Request {
	for i := range b.list {
		b.list[i].sentAt = now
		b.list[i].epoch = t.epoch
		b.list[i].Body.Duration = durationpb.New(t.config.Tenure)
		b.list[i].Body.StartedAt = t.startedAt.UnixNano()
	}
	return b.list
}
