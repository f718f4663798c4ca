package server

import (
	"github.com/kataras/iris/v12"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

// submit answers POST /v1/submit.
func (s *Server) submit(c iris.Context) {
	e, err := s.enter(c)
	if err != nil {
		s.reject(c, err)
		return
	}
	defer s.leave()
	answer, err := s.answerSubmit(c, e)
	if err != nil {
		s.reject(c, err)
		return
	}
	s.count("submit", answer.GetCode())
	c.StatusCode(statusOf(answer.GetCode()))
	s.write(c, answer)
}

func (s *Server) answerSubmit(c iris.Context, e *entered) (*pb.SubmitAnswer, error) {
	request := &pb.SubmitRequest{}
	a, err := s.admit(c, e, request, pb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT)
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
		return nil, s.notRefused(err)
	}
	a.end(submitCoverage(answer))
	return answer, nil
}

// submitCoverage is 1 for a request that ran and 0 for one that did not or may not have.
func submitCoverage(a *pb.SubmitAnswer) float64 {
	if a.GetCode() == pb.ResultCode_RESULT_CODE_OK {
		return 1
	}
	return 0
}
