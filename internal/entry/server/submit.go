package server

import (
	"github.com/kataras/iris/v12"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// submit answers POST /v1/submit.
func (s *Server) submit(c iris.Context) {
	r, err := s.start(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	defer s.finish()
	answer, err := s.answerSubmit(c, r)
	if err != nil {
		s.writeError(c, err)
		return
	}
	s.countAnswer("submit", answer.GetCode())
	c.StatusCode(statusOf(answer.GetCode()))
	s.writeAnswer(c, answer)
}

func (s *Server) answerSubmit(c iris.Context, r *startedRequest) (*pb.SubmitAnswer, error) {
	request := &pb.SubmitRequest{}
	a, err := s.admit(c, r, request, pb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT)
	if err != nil {
		return nil, err
	}
	if a.timeLeft <= 0 {
		a.end(0)
		return nil, coder.New(pb.ResultCode_RESULT_CODE_NOT_RUN, "the time was over before the request could be sent")
	}
	request.TimeLeft = durationOf(a.timeLeft)
	answer, err := s.config.Submitter.Submit(c.Request().Context(), a.caller, request)
	if err != nil {
		a.cancel()
		return nil, s.checkNotRefused(err)
	}
	a.end(submitCoverage(answer))
	return answer, nil
}

// submitCoverage returns 1 for a request that ran and 0 for one that did not run or may not have run.
func submitCoverage(a *pb.SubmitAnswer) float64 {
	if a.GetCode() == pb.ResultCode_RESULT_CODE_OK {
		return 1
	}
	return 0
}
