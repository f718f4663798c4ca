package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	controlTimeout = 10 * time.Second
	jsonIndent     = "  "
)

type (
	// session holds the output streams of the commands.
	session struct {
		output   io.Writer
		progress io.Writer
	}

	// controlClient calls the control ports of the fakes.
	controlClient struct{}
)

// printMessage writes the message as indented JSON.
func (s *session) printMessage(m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	return s.printJSON(raw)
}

// printJSON writes the JSON text indented. protojson varies the white space in its output, so equal messages would
// otherwise give different text.
func (s *session) printJSON(raw []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", jsonIndent); err != nil {
		return errors.Wrap(err, "indent output")
	}
	indented.WriteByte('\n')
	_, err := s.output.Write(indented.Bytes())
	return errors.Wrap(err, "write output")
}

// Post sends the JSON body to a control port.
func (c controlClient) Post(ctx context.Context, address, path, body string) error {
	_, err := c.call(ctx, http.MethodPost, address, path, body)
	return err
}

// Counters reads the counters of the leaves behind a control port.
func (c controlClient) Counters(ctx context.Context, address string) (*pb.LeafCountersList, error) {
	raw, err := c.call(ctx, http.MethodGet, address, "/counters", "")
	if err != nil {
		return nil, err
	}
	list := &pb.LeafCountersList{}
	return list, errors.Wrap(protojson.Unmarshal(raw, list), "decode counters")
}

func (c controlClient) call(ctx context.Context, method, address, path, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create control request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call control port")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response of control port")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("control port %s%s: %s: %s", address, path, response.Status, bytes.TrimSpace(raw))
	}
	return raw, nil
}
