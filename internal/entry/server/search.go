package server

import (
	"github.com/kataras/iris/v12"

	"github.com/magnoliastep/magnoliastep/internal/entry/tallier"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// search answers POST /v1/search.
func (s *Server) search(c iris.Context) {
	r, err := s.start(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	defer s.finish()
	answer, err := s.answerSearch(c, r)
	if err != nil {
		s.writeError(c, err)
		return
	}
	s.countAnswer("search", answer.GetCode())
	s.writeAnswer(c, answer)
}

func (s *Server) answerSearch(c iris.Context, r *startedRequest) (*pb.SearchAnswer, error) {
	request := &pb.SearchRequest{}
	a, err := s.admit(c, r, request, pb.RequestKind_REQUEST_KIND_IDEMPOTENT)
	if err != nil {
		return nil, err
	}
	if a.timeLeft <= 0 {
		a.end(0)
		return s.expiredAnswer(request), nil
	}
	request.TimeLeft = durationOf(a.timeLeft)
	answer, err := s.config.Searcher.Search(c.Request().Context(), a.caller, request)
	if err != nil {
		a.cancel()
		return nil, s.checkNotRefused(err)
	}
	a.end(tallier.CoverageOf(answer.GetCoverage()))
	return answer, nil
}

// expiredAnswer returns the answer to a search that waited at this node until its time was over: it lacks every
// partition.
func (s *Server) expiredAnswer(r *pb.SearchRequest) *pb.SearchAnswer {
	partitions := r.GetPartitions()
	if len(partitions) == 0 {
		for p := range s.config.Source.Index().Service(r.GetService()).GetPartitionCount() {
			partitions = append(partitions, p)
		}
	}
	coverage := &pb.Coverage{Asked: uint32(len(partitions))}
	for _, p := range partitions {
		coverage.Lacking = append(coverage.Lacking, &pb.LackingPartition{
			Partition: p, Reason: pb.ResultCode_RESULT_CODE_QUEUE_DEADLINE,
		})
	}
	return &pb.SearchAnswer{
		Code: pb.ResultCode_RESULT_CODE_PARTIAL, RequestId: r.GetRequestId(), Service: r.GetService(), Coverage: coverage,
		Message: "the time was over before the request could be worked on",
	}
}
