package controller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/command/parser"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1/magnoliastepv1connect"
)

const (
	callTimeout   = time.Minute
	columnPadding = 2
	outputJSON    = "json"
	anyVersion    = -1
)

type (
	// session is what the verbs share: the node, the token and the output.
	session struct {
		config Config
		client magnoliastepv1connect.OperatorServiceClient
		nodes  *failover
		token  string
		output string
	}

	// callError is a call that did not end with the code OK.
	callError struct {
		code    pb.ResultCode
		message string
	}
)

func newSession(c Config, v *verbs) (*session, error) {
	nodes, err := newFailover(v.Node, v.CAFile)
	if err != nil {
		return nil, err
	}
	return &session{
		config: c,
		nodes:  nodes,
		client: magnoliastepv1connect.NewOperatorServiceClient(&http.Client{Transport: nodes}, nodes.baseURL()),
		token:  v.Token,
		output: v.Output,
	}, nil
}

// request returns the message with the bearer token.
func request[T any](s *session, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+s.token)
	return r
}

// context bounds one call.
func (s *session) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// table writes the header and rows with aligned columns.
func (s *session) table(header string, rows []string) error {
	w := tabwriter.NewWriter(s.config.Output, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, r)
	}
	return w.Flush()
}

func (s *session) json(m proto.Message) error {
	_, err := fmt.Fprintln(s.config.Output, protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Format(m))
	return err
}

// report writes the outcome of a change, or returns it as an error.
func (s *session) report(key string, o *pb.ChangeOutcome) error {
	if s.output == outputJSON {
		if err := s.json(o); err != nil {
			return err
		}
	}
	if err := check(o.GetCode(), o.GetMessage()); err != nil {
		return fmt.Errorf("%s: %w%s", key, err, advice(key, o))
	}
	if s.output == outputJSON {
		return nil
	}
	_, err := fmt.Fprintf(s.config.Output, "%s: version %d, change %s\n", key, o.GetVersion(), o.GetChangeId())
	return err
}

// settled returns the outcome as it is to be reported. When a node before the one that answered may have
// got the change too and still work on it, only an acceptance, or a conflict over an explicit version,
// says what became of it.
func (s *session) settled(o *pb.ChangeOutcome, version int64) *pb.ChangeOutcome {
	certain := o.GetCode() == pb.ResultCode_RESULT_CODE_OK ||
		(o.GetCode() == pb.ResultCode_RESULT_CODE_VERSION_CONFLICT && version != anyVersion)
	if certain || !s.nodes.lostAnswer() {
		return o
	}
	return &pb.ChangeOutcome{
		Code: pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN, ChangeId: o.GetChangeId(),
		Message: "a node did not answer, and the next one said: " + o.GetMessage(),
	}
}

// advice says what the operator can do about the outcome.
func advice(key string, o *pb.ChangeOutcome) string {
	switch o.GetCode() {
	case pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN:
		return fmt.Sprintf("; ask with: %s change %s %s", programName, key, o.GetChangeId())
	case pb.ResultCode_RESULT_CODE_VERSION_CONFLICT:
		return fmt.Sprintf("; look with: %s get %s", programName, key)
	case pb.ResultCode_RESULT_CODE_INVALID_OBJECT:
		return "\n  " + strings.Join(o.GetFieldErrors(), "\n  ")
	default:
		return ""
	}
}

func newChangeID() string {
	return uuid.Must(uuid.NewV7()).String()
}

func check(code pb.ResultCode, message string) error {
	if code == pb.ResultCode_RESULT_CODE_OK {
		return nil
	}
	return &callError{code: code, message: message}
}

// unreachable is the error of a read that no node answered.
func unreachable(err error) error {
	return &callError{
		code:    pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE,
		message: "no node can be reached: " + err.Error(),
	}
}

// unanswered is the error of a change that no node answered. Once a node may have got the request, the
// outcome is unknown.
func unanswered(err error, key, changeID string) error {
	if neverSent(err) {
		return unreachable(err)
	}
	return &callError{
		code: pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN,
		message: fmt.Sprintf("no node answered (%v); the change may or may not have been made; ask with: %s change %s %s",
			err, programName, key, changeID),
	}
}

// Error implements error.
func (e *callError) Error() string {
	return fmt.Sprintf("code %d: %s", e.code, e.message)
}

func (e *callError) exitCode() int {
	switch e.code {
	case pb.ResultCode_RESULT_CODE_VERSION_CONFLICT:
		return exitConflict
	case pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN:
		return exitUnknown
	case pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE:
		return exitUnavailable
	case pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, pb.ResultCode_RESULT_CODE_ROLE_MISSING,
		pb.ResultCode_RESULT_CODE_NOT_NAMED_DIRECTOR:
		return exitDenied
	default:
		return parser.ExitFailure
	}
}
