package server

import (
	"github.com/kataras/iris/v12"

	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// search answers POST /v1/search.
func (s *Server) search(c iris.Context) {
	e, err := s.enter(c)
	if err != nil {
		s.reject(c, err)
		return
	}
	defer s.leave()
	answer, err := s.answerSearch(c, e)
	if err != nil {
		s.reject(c, err)
		return
	}
	s.count("search", answer.GetCode())
	s.write(c, answer)
}

func (s *Server) answerSearch(c iris.Context, e *entered) (*pb.SearchAnswer, error) {
	request := &pb.SearchRequest{}
	a, err := s.admit(c, e, request, pb.RequestKind_REQUEST_KIND_IDEMPOTENT)
	if err != nil {
		return nil, err
	}
	if a.timeLeft <= 0 {
		a.end(0)
		return s.tooLate(request), nil
	}
	request.TimeLeft = durationOf(a.timeLeft)
	answer, err := s.config.Searcher.Search(c.Request().Context(), a.caller, request)
	if err != nil {
		a.cancel()
		return nil, s.notRefused(err)
	}
	a.end(tallier.CoverageOf(answer.GetCoverage()))
	return answer, nil
}

// tooLate is the answer to a search that waited here until its time was over: it lacks every partition.
func (s *Server) tooLate(r *pb.SearchRequest) *pb.SearchAnswer {
	partitions := r.GetPartitions()
	if len(partitions) == 0 {
		for q := range s.config.Source.Index().Service(r.GetService()).GetPartitionCount() {
			partitions = append(partitions, q)
		}
	}
	coverage := &pb.Coverage{Asked: uint32(len(partitions))}
	for _, q := range partitions {
		coverage.Lacking = append(coverage.Lacking, &pb.LackingPartition{
			Partition: q, Reason: pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE,
		})
	}
	return &pb.SearchAnswer{
		Code: pb.ResultCode_RESULT_CODE_PARTIAL, RequestId: r.GetRequestId(), Service: r.GetService(), Coverage: coverage,
		Message: "the time was over before the request could be worked on",
	}
}
