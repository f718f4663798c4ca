package controller

import (
	"fmt"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	pagesVerb struct{}
)

// Help shows examples.
func (v *pagesVerb) Help() string {
	return "Shows the newest page of each class; stepctl audit page/SERVICE.CLASS shows the earlier ones.\n\n" +
		"Example:\n  stepctl pages"
}

// Run implements the verb.
func (v *pagesVerb) Run(s *session) error {
	objects, err := s.list("page", false)
	if err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.json(&pb.ListObjectsResponse{Code: pb.ResultCode_RESULT_CODE_OK, Objects: objects})
	}
	rows := make([]string, 0, len(objects))
	for _, o := range objects {
		p := o.GetPage()
		rows = append(rows, fmt.Sprintf("%s/%s\t%s\t%s\t%s\t%s", p.GetService(), p.GetClass(), p.GetPageId(),
			p.GetOpenedAt().AsTime().Format(time.RFC3339), answerText(p), p.GetDirector()))
	}
	return s.table("CLASS\tPAGE\tOPENED\tANSWER\tDIRECTOR", rows)
}

func answerText(p *pb.Page) string {
	switch {
	case !p.GetAnswered():
		return "open"
	case p.GetAgreed():
		return "agreed"
	default:
		return "no"
	}
}
