package controller

import (
	"fmt"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	pagesCommand struct{}
)

// Help returns the detailed help text, with examples.
func (v *pagesCommand) Help() string {
	return "Shows the newest page of each class; stepctl audit page/SERVICE.CLASS shows the earlier ones.\n\n" +
		"Example:\n  stepctl pages"
}

// Run executes the command.
func (v *pagesCommand) Run(s *session) error {
	objects, err := s.list("page", false)
	if err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.printJSON(&pb.ListObjectsResponse{Code: pb.ResultCode_RESULT_CODE_OK, Objects: objects})
	}
	rows := make([]string, 0, len(objects))
	for _, o := range objects {
		p := o.GetPage()
		rows = append(rows, fmt.Sprintf("%s/%s\t%s\t%s\t%s\t%s", p.GetService(), p.GetClass(), p.GetPageId(),
			p.GetOpenedAt().AsTime().Format(time.RFC3339), answerText(p), p.GetDirector()))
	}
	return s.printTable("CLASS\tPAGE\tOPENED\tANSWER\tDIRECTOR", rows)
}

// answerText returns the answer as the ANSWER column shows it.
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
