package pager

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// postToDirectors posts the notice to every director of the class's service in the background.
func (p *Pager) postToDirectors(ctx context.Context, class *pb.Class, n *pb.PageNotice) {
	index := p.config.Source.Index()
	for _, name := range index.Service(class.GetService()).GetDirectors() {
		address := index.Operator(name).GetWakeAddress()
		if address == "" {
			p.config.Logger.Error("director has no wake address", "director", name, "page_id", n.GetPageId())
			continue
		}
		addressed := proto.CloneOf(n)
		addressed.Director = name
		p.tasks.Go(func() { p.postToDirector(ctx, address, addressed) })
	}
}

// postToDirector posts the notice to one director and logs and counts the result.
func (p *Pager) postToDirector(ctx context.Context, address string, n *pb.PageNotice) {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	result := "delivered"
	attributes := []any{"page_id", n.GetPageId(), "director", n.GetDirector(), "attempt", n.GetAttempt()}
	if err := p.send(ctx, address, n); err != nil {
		result = "failed"
		attributes = append(attributes, "error", err.Error())
	}
	p.config.Logger.Warn("page posted", append(attributes, "result", result)...)
	p.config.Metrics.GetOrCreateCounter(`magnoliastep_page_posts_total{result="` + result + `"}`).Inc()
}

func (p *Pager) send(ctx context.Context, address string, n *pb.PageNotice) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(n)
	if err != nil {
		return errors.Wrap(err, "encode page")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := p.config.HTTPClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "post page")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("wake address returned status %d", response.StatusCode)
	}
	return nil
}
