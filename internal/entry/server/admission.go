package server

import (
	"time"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	// classRequest is a request of one class: a search or a submit.
	classRequest interface {
		proto.Message
		GetService() string
		GetClass() string
		GetTimeLeft() *durationpb.Duration
	}

	// admittedRequest is a request that was checked, admitted and counted as in progress.
	admittedRequest struct {
		caller *pb.Caller
		// timeLeft is zero or less when the request waited at this node until its time was over.
		timeLeft time.Duration
		// Exactly one of end and cancel must be called, once.
		end    func(coverage float64)
		cancel func()
	}
)

// admit reads the request into r, checks that its caller may send it and asks the admitter. It sends nothing
// to other nodes or leaves, so a request that fails here did not run.
func (s *Server) admit(
	c iris.Context, started *startedRequest, r classRequest, kind pb.RequestKind,
) (*admittedRequest, error) {
	caller, err := s.readRequest(c, r)
	if err != nil {
		return nil, err
	}
	class, err := s.config.Source.Index().CheckClass(caller, r.GetService(), r.GetClass(), kind)
	if err != nil {
		return nil, err
	}
	timeLeft, err := s.timeLeft(started, class, r.GetTimeLeft())
	if err != nil {
		return nil, err
	}
	if err := s.config.Admitter.Admit(class); err != nil {
		return nil, err
	}
	end, cancel := s.config.Tallier.Begin(class)
	return &admittedRequest{caller: caller, timeLeft: timeLeft, end: end, cancel: cancel}, nil
}
