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

func (s *Server) reject(c iris.Context, err error) {
	code := coder.Of(err)
	s.count("reject", code)
	s.config.Logger.Info("request rejected", "code", int(code), "path", c.Path(), "error", err.Error())
	c.StatusCode(statusOf(code))
	s.write(c, &pb.ErrorAnswer{Code: code, Message: strings.ToValidUTF8(err.Error(), "\uFFFD")})
}

func (s *Server) write(c iris.Context, answer proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: false}.Marshal(answer)
	if err != nil {
		s.config.Logger.Error("answer not encoded", "error", err.Error())
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.ContentType(contentTypeJSON)
	_, _ = c.Write(body)
}

func (s *Server) count(call string, code pb.ResultCode) {
	name := `magnoliastep_answers_total{call="` + call + `",code="` + code.String() + `"}`
	s.config.Metrics.GetOrCreateCounter(name).Inc()
}
