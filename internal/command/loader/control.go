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
	controlVerb struct {
		Address string `arg:"" help:"IP and port of the control port."`
		Path    string `arg:"" help:"Path, for example /counters or /behaviour?leaf=towpath-desk-*."`
		Body    string `arg:"" optional:"" help:"JSON message to set, or @FILE; without it the path is read."`
	}
)

// Help shows examples.
func (v *controlVerb) Help() string {
	return "Examples:\n" +
		"  stepload control 127.30.0.1:7001 /behaviour '{\"outage\":true}'\n" +
		"  stepload control 127.30.0.1:7001 /vms @examples/demo/vms.json\n" +
		"  stepload control 127.30.0.1:7011 '/counters?leaf=towpath-desk-*'"
}

// Run implements the verb.
func (v *controlVerb) Run(ctx context.Context, s *session) error {
	if v.Body == "" {
		raw, err := controls{}.call(ctx, http.MethodGet, v.Address, v.Path, "")
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
	return controls{}.Post(ctx, v.Address, v.Path, body)
}
