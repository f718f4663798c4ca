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
	// callTimeout limits one call, including the attempts at all nodes.
	callTimeout   = time.Minute
	columnPadding = 2
	outputJSON    = "json"
	// anyVersion in a change stands for the version in force.
	anyVersion = -1
)

type (
	// session holds the state that the commands share: the client, the token and the output format.
	session struct {
		config    Config
		client    magnoliastepv1connect.OperatorServiceClient
		transport *failoverTransport
		token     string
		output    string
	}

	// callError is the error of a call that ended with a code other than OK.
	callError struct {
		code    pb.ResultCode
		message string
	}
)

func newSession(c Config, v *commands) (*session, error) {
	nodes, err := newFailoverTransport(v.Node, v.CAFile)
	if err != nil {
		return nil, err
	}
	return &session{
		config:    c,
		transport: nodes,
		client:    magnoliastepv1connect.NewOperatorServiceClient(&http.Client{Transport: nodes}, nodes.baseURL()),
		token:     v.Token,
		output:    v.Output,
	}, nil
}

// newRequest returns a request with the message and the bearer token.
func newRequest[T any](s *session, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+s.token)
	return r
}

// callContext returns a context with the timeout of one call.
func (s *session) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// printTable writes the header and the rows, whose tab-separated columns it aligns.
func (s *session) printTable(header string, rows []string) error {
	w := tabwriter.NewWriter(s.config.Output, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, r)
	}
	return w.Flush()
}

func (s *session) printJSON(m proto.Message) error {
	_, err := fmt.Fprintln(s.config.Output, protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Format(m))
	return err
}

// printOutcome writes the outcome of a change. It returns an error unless the change was accepted.
func (s *session) printOutcome(key string, o *pb.ChangeOutcome) error {
	if s.output == outputJSON {
		if err := s.printJSON(o); err != nil {
			return err
		}
	}
	if err := errorOfCode(o.GetCode(), o.GetMessage()); err != nil {
		return fmt.Errorf("%s: %w%s", key, err, advice(key, o))
	}
	if s.output == outputJSON {
		return nil
	}
	_, err := fmt.Fprintf(s.config.Output, "%s: version %d, change %s\n", key, o.GetVersion(), o.GetChangeId())
	return err
}

// confirmedOutcome returns the outcome to print. Another node may have received the change before one answered,
// and may still be working on it. The answer is then conclusive only if it is an acceptance, or a conflict
// over an explicit version; any other becomes an unknown outcome.
func (s *session) confirmedOutcome(o *pb.ChangeOutcome, version int64) *pb.ChangeOutcome {
	conclusive := o.GetCode() == pb.ResultCode_RESULT_CODE_OK ||
		(o.GetCode() == pb.ResultCode_RESULT_CODE_VERSION_CONFLICT && version != anyVersion)
	if conclusive || !s.transport.mayHaveLostAnswer() {
		return o
	}
	return &pb.ChangeOutcome{
		Code: pb.ResultCode_RESULT_CODE_CHANGE_OUTCOME_UNKNOWN, ChangeId: o.GetChangeId(),
		Message: "a node did not answer, and the next one said: " + o.GetMessage(),
	}
}

// advice returns the text that tells the operator what to do about the outcome.
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

// errorOfCode returns nil for the code OK and a callError for any other.
func errorOfCode(code pb.ResultCode, message string) error {
	if code == pb.ResultCode_RESULT_CODE_OK {
		return nil
	}
	return &callError{code: code, message: message}
}

// unreachableError returns the error of a call that reached no node, or of a read that no node answered.
func unreachableError(err error) error {
	return &callError{
		code:    pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE,
		message: "no node can be reached: " + err.Error(),
	}
}

// unansweredChangeError returns the error of a change that no node answered. If a node may have received the
// request, the outcome is unknown.
func unansweredChangeError(err error, key, changeID string) error {
	if neverSent(err) {
		return unreachableError(err)
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
		return exitOutcomeUnknown
	case pb.ResultCode_RESULT_CODE_PLATFORM_UNAVAILABLE:
		return exitUnavailable
	case pb.ResultCode_RESULT_CODE_UNAUTHENTICATED, pb.ResultCode_RESULT_CODE_ROLE_MISSING,
		pb.ResultCode_RESULT_CODE_NOT_NAMED_DIRECTOR:
		return exitDenied
	default:
		return parser.ExitFailure
	}
}
