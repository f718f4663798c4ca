package server

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/result/coder"
)

const (
	contentTypeJSON = "application/json"
)

func (s *Server) writeError(c iris.Context, err error) {
	code := coder.CodeOf(err)
	s.countAnswer("reject", code)
	s.config.Logger.Info("request rejected", "code", int(code), "path", c.Path(), "error", err.Error())
	c.StatusCode(statusOf(code))
	s.writeAnswer(c, &pb.ErrorAnswer{Code: code, Message: strings.ToValidUTF8(err.Error(), "\uFFFD")})
}

func (s *Server) writeAnswer(c iris.Context, answer proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: false}.Marshal(answer)
	if err != nil {
		s.config.Logger.Error("answer could not be encoded", "error", err.Error())
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.ContentType(contentTypeJSON)
	_, _ = c.Write(body)
}

func (s *Server) countAnswer(call string, code pb.ResultCode) {
	name := `magnoliastep_answers_total{call="` + call + `",code="` + code.String() + `"}`
	s.config.Metrics.GetOrCreateCounter(name).Inc()
}
