package controller

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	agreeCommand struct {
		Class    string        `arg:"" help:"Class as service/class."`
		Share    float64       `required:"" help:"Largest share of its requests that may be refused, up to 1; 0 declines."`
		Lifetime time.Duration `required:"" help:"Lifetime of the grant, or time without pages after declining; at most 4h."`
		Page     string        `help:"Id of the page that is answered."`
		Reason   string        `required:"" help:"Why; kept in the audit trail."`
	}
)

// Help returns the detailed help text, with examples.
func (v *agreeCommand) Help() string {
	return "Only a director whom the service names may agree. The grant is in force at every node within seconds " +
		"and expires by itself.\n\nExamples:\n" +
		"  stepctl agree towpath-desk/stalls --share 0.2 --lifetime 15m --reason 'evening peak'\n" +
		"  stepctl agree towpath-desk/stalls --share 0 --lifetime 1h --reason 'wait it out'"
}

// Run executes the command.
func (v *agreeCommand) Run(s *session) error {
	service, class, ok := strings.Cut(v.Class, "/")
	if !ok {
		return errors.Newf("CLASS must be service/class, not %q", v.Class)
	}
	ctx, cancel := s.callContext()
	defer cancel()
	id := newChangeID()
	response, err := s.client.AgreeToRefusal(ctx, newRequest(s, &pb.AgreeToRefusalRequest{
		PageId: v.Page, Service: service, Class: class, Share: v.Share, Lifetime: durationpb.New(v.Lifetime),
		ChangeId: id, Reason: v.Reason,
	}))
	key := "grant/" + service + "." + class
	if v.Share == 0 {
		key = "page/" + service + "." + class
	}
	if err != nil {
		return unansweredChangeError(err, key, id)
	}
	return s.printOutcome(key, s.confirmedOutcome(response.Msg.GetOutcome(), anyVersion))
}
