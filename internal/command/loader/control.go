package loader

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	filePrefix = "@"
)

type (
	controlCommand struct {
		Address string `arg:"" help:"IP and port of the control port."`
		Path    string `arg:"" help:"Path, for example /counters or /behaviour?leaf=towpath-desk-*."`
		Body    string `arg:"" optional:"" help:"JSON message to post, or @FILE; without it the path is read."`
	}
)

// Help returns the detailed help text, with examples.
func (v *controlCommand) Help() string {
	return "Examples:\n" +
		"  stepload control 127.30.0.1:7001 /behaviour '{\"outage\":true}'\n" +
		"  stepload control 127.30.0.1:7001 /vms @examples/demo/vms.json\n" +
		"  stepload control 127.30.0.1:7011 '/counters?leaf=towpath-desk-*'"
}

// Run executes the command.
func (v *controlCommand) Run(ctx context.Context, s *session) error {
	if v.Body == "" {
		raw, err := controlClient{}.call(ctx, http.MethodGet, v.Address, v.Path, "")
		if err != nil {
			return err
		}
		return s.printJSON(raw)
	}
	body := v.Body
	if name, ok := strings.CutPrefix(body, filePrefix); ok {
		content, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "read message")
		}
		body = string(content)
	}
	return controlClient{}.Post(ctx, v.Address, v.Path, body)
}
