package loader

import (
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/load/plotter"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

type (
	plotCommand struct {
		Report   string `required:"" type:"existingfile" help:"Report in JSON, as run prints it."`
		Latency  string `help:"File for the latency over time (.svg or .png)."`
		Coverage string `help:"File for the coverage over time (.svg or .png)."`
	}
)

// Help returns the detailed help text, with an example.
func (v *plotCommand) Help() string {
	return "Example:\n  stepload plot --report report.json --latency latency.svg --coverage coverage.svg"
}

// Run executes the command.
func (v *plotCommand) Run() error {
	report := &pb.LoadReport{}
	if err := decoder.DecodeFile(v.Report, report); err != nil {
		return err
	}
	p := plotter.New(plotter.Config{Report: report})
	if v.Latency != "" {
		if err := p.DrawLatency(v.Latency); err != nil {
			return err
		}
	}
	if v.Coverage == "" {
		return nil
	}
	return p.DrawCoverage(v.Coverage)
}
