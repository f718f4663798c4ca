package frontend

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/magnoliastep/magnoliastep/internal/forward/comparer"
	"github.com/magnoliastep/magnoliastep/internal/forward/inspector"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/platform"
)

const (
	// standardInput is the path that stands for the standard input.
	standardInput = "-"
	formatJSON    = "json"
)

type (
	// checkCommand checks the settings file, or a configuration.
	checkCommand struct {
		Configuration string `arg:"" optional:"" help:"File with a configuration; - is the standard input."`
		Against       string `help:"File with the configuration in force, to show what changes." placeholder:"FILE"`
		Format        string `help:"Form of the output." default:"text" enum:"text,json"`
		Settings      string `help:"Settings file; by default the one that the platform names." placeholder:"FILE"`
	}

	// checkReport is what the check of a configuration has found, as JSON.
	checkReport struct {
		File     string          `json:"file"`
		Errors   int             `json:"errors"`
		Warnings int             `json:"warnings"`
		Problems []problemReport `json:"problems"`
		Changes  []changeReport  `json:"changes,omitempty"`
	}

	problemReport struct {
		Severity string `json:"severity"`
		Line     int    `json:"line"`
		Path     string `json:"path"`
		Text     string `json:"text"`
	}

	changeReport struct {
		Kind    string `json:"kind"`
		Entry   string `json:"entry"`
		Field   string `json:"field,omitempty"`
		Before  string `json:"before,omitempty"`
		After   string `json:"after,omitempty"`
		Touches string `json:"touches,omitempty"`
	}
)

// Help returns the examples that are printed with the help text.
func (v *checkCommand) Help() string {
	return `Examples:
  stepfront check --settings local.json
  stepfront check new.json
  stepfront check new.json --against in-force.json --format json
  generate-configuration | stepfront check -

A configuration may also be the store's object that holds it. The exit code is 0 if nodes will use the
configuration as it stands, 1 if there are errors, and 2 for wrong arguments.`
}

// Run checks what the arguments name.
func (v *checkCommand) Run(c *Config) error {
	c.Signals.Release()
	if v.Configuration == "" {
		return v.checkSettings(c)
	}
	next, problems, err := readConfiguration(c, v.Configuration)
	if err != nil {
		return err
	}
	report := checkReport{File: v.Configuration, Problems: []problemReport{}}
	for _, p := range problems {
		report.add(p)
	}
	if v.Against != "" {
		inForce, _, err := readConfiguration(c, v.Against)
		if err != nil {
			return errors.Wrap(err, "configuration in force")
		}
		report.compare(inForce, next)
	}
	if err := report.write(c.Output, v.Format); err != nil {
		return err
	}
	if report.Errors > 0 {
		return errors.Newf("%s: %d errors", v.Configuration, report.Errors)
	}
	return nil
}

// checkSettings prints the main settings.
func (v *checkCommand) checkSettings(c *Config) error {
	s, err := platform.ReadSettings(settingsPath(v.Settings, c))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Output, "node %s in zone %s: callers %s, directory %s, store %s\n",
		s.NodeName, s.AvailabilityZone, s.CallerAddress, s.DirectoryAddress, s.StoreAddress)
	return err
}

// readConfiguration reads and checks the configuration in a file, or in the standard input.
func readConfiguration(c *Config, path string) (matcher.Config, []platform.Problem, error) {
	var text []byte
	var err error
	if path == standardInput {
		text, err = io.ReadAll(c.Input)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return matcher.Config{}, nil, errors.Wrap(err, "read configuration")
	}
	configuration, problems, err := platform.CheckConfiguration(text)
	return configuration, problems, errors.Wrap(err, path)
}

func (r *checkReport) add(p platform.Problem) {
	severity := "warning"
	if p.Severity == inspector.Error {
		severity = "error"
		r.Errors++
	} else {
		r.Warnings++
	}
	r.Problems = append(r.Problems, problemReport{Severity: severity, Line: p.Line, Path: p.Path, Text: p.Text})
}

// compare adds the differences to the configuration in force. Nodes ignore a version that is not above it.
func (r *checkReport) compare(inForce, next matcher.Config) {
	if next.Version <= inForce.Version {
		r.add(platform.Problem{
			Severity: inspector.Error, Line: 1, Path: "Version",
			Text: fmt.Sprintf("%d is not above the version in force, %d: nodes will not use it", next.Version, inForce.Version),
		})
	}
	kinds := map[comparer.Kind]string{
		comparer.Added: "added", comparer.Removed: "removed", comparer.Changed: "changed",
	}
	r.Changes = []changeReport{}
	for _, c := range comparer.Compare(inForce, next) {
		r.Changes = append(r.Changes, changeReport{
			Kind: kinds[c.Kind], Entry: c.Entry, Field: c.Field, Before: c.Before, After: c.After, Touches: c.Touches,
		})
	}
}

func (r *checkReport) write(w io.Writer, format string) error {
	if format == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(w, "%s:%d: %s: %s: %s\n", r.File, p.Line, p.Severity, p.Path, p.Text); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, c.line()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s: %d errors, %d warnings, %d changes\n", r.File, r.Errors, r.Warnings, len(r.Changes))
	return err
}

// line returns the change as one line of text.
func (c changeReport) line() string {
	text := c.Kind + ": " + c.Entry
	if c.Before != "" || c.After != "" {
		if c.Field != "" {
			text += "." + c.Field
		}
		text += fmt.Sprintf(": %s -> %s", c.Before, c.After)
	}
	if c.Touches != "" {
		text += " (" + c.Touches + ")"
	}
	return text
}

// settingsPath returns the path from the flag, or else from the environment variable of the platform.
func settingsPath(flag string, c *Config) string {
	if flag != "" {
		return flag
	}
	return c.Getenv(platform.SettingsVariable)
}
