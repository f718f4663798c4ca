package loader

import (
	"context"
	"fmt"

	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/load/client"
	"github.com/magnoliastep/magnoliastep/internal/load/recorder"
	"github.com/magnoliastep/magnoliastep/internal/load/runner"
	"github.com/magnoliastep/magnoliastep/internal/load/scatterer"
	"github.com/magnoliastep/magnoliastep/internal/settings/decoder"
)

type (
	// loadArguments are the arguments of both load commands: through the tier and directly to the leaves.
	loadArguments struct {
		Plan   string `required:"" type:"existingfile" help:"Load plan (JSON, message LoadPlan)."`
		Config string `required:"" type:"existingfile" help:"Configuration file with the classes and services."`
		Label  string `help:"Name of the run in its report."`
		Format string `enum:"json,table" default:"table" help:"Report as json or table."`
	}

	runCommand struct {
		loadArguments
	}

	directCommand struct {
		loadArguments
	}

	// entryClient sends the requests of a load run to the entries.
	entryClient struct {
		client *client.Client
	}
)

// Help returns the detailed help text, with an example.
func (v *runCommand) Help() string {
	return "Example:\n  stepload run --plan examples/treidelstall/load.json --config examples/treidelstall/config.json"
}

// Run executes the command.
func (v *runCommand) Run(ctx context.Context, s *session) error {
	plan, file, err := v.readFiles()
	if err != nil {
		return err
	}
	return v.runLoad(ctx, s, plan, file, &entryClient{client: newClient(plan.GetEntryAddresses(), plan.GetSeed())})
}

// Run executes the command.
func (v *directCommand) Run(ctx context.Context, s *session) error {
	plan, file, err := v.readFiles()
	if err != nil {
		return err
	}
	return v.runLoad(ctx, s, plan, file, scatterer.New(scatterer.Config{Services: file.GetServices()}))
}

func (v *loadArguments) readFiles() (*pb.LoadPlan, *pb.ConfigFile, error) {
	plan := &pb.LoadPlan{}
	if err := decoder.DecodeFile(v.Plan, plan); err != nil {
		return nil, nil, err
	}
	file := &pb.ConfigFile{}
	return plan, file, decoder.DecodeFile(v.Config, file)
}

func (v *loadArguments) runLoad(
	ctx context.Context, s *session, plan *pb.LoadPlan, file *pb.ConfigFile, sender runner.RequestSender,
) error {
	_, _ = fmt.Fprintf(s.progress, "%s: load for %s\n", programName, plan.GetDuration().AsDuration())
	report, err := runner.New(runner.Config{
		Plan: plan, Classes: file.GetClasses(), Sender: sender, ControlClient: controlClient{}, Clock: quartz.NewReal(),
		Label: v.Label,
	}).Run(ctx)
	if err != nil {
		return err
	}
	if v.Format == "json" {
		return s.printMessage(report)
	}
	return s.printTable(report)
}

// printTable writes one line for each class and one for all leaves.
func (s *session) printTable(r *pb.LoadReport) error {
	_, _ = fmt.Fprintf(s.output, "%-14s %-12s %7s %8s %8s %8s %9s %7s %7s %7s %8s\n", "service", "class", "sent",
		"p50_ms", "p99_ms", "p999_ms", "coverage", "whole", "worth", "refused", "no_reply")
	for _, c := range r.GetClasses() {
		l := c.GetLatency()
		_, _ = fmt.Fprintf(s.output, "%-14s %-12s %7d %8.2f %8.2f %8.2f %9.4f %7.4f %7.4f %7d %8d\n",
			c.GetService(), c.GetClass(), c.GetSent(), l.GetP50Ms(), l.GetP99Ms(), l.GetP999Ms(), c.GetMeanCoverage(),
			c.GetWholeShare(), c.GetWorthShare(), c.GetRefused(), c.GetCodes()[recorder.CodeTransport])
	}
	_, err := fmt.Fprintf(s.output, "leaf_calls=%d parts_asked=%d extra_load=%.4f cancelled=%d shed=%d failed_cold=%d\n",
		r.GetLeafCalls(), r.GetPartsAsked(), r.GetExtraLoad(), r.GetLeafCancelled(), r.GetLeafShed(),
		r.GetLeafFailedCold())
	return err
}

// SendRequest sends one search to an entry and returns the code and how many of the partitions were included.
func (e *entryClient) SendRequest(ctx context.Context, load *pb.ClassLoad, class *pb.Class) (string, int, int) {
	ctx, cancel := context.WithTimeout(ctx, 2*class.GetLateness().AsDuration())
	defer cancel()
	answer, err := e.client.Search(ctx, "", load.GetCredential(), &pb.SearchRequest{
		Service: load.GetService(), Class: load.GetClass(), Query: load.GetQuery(),
	})
	if err != nil {
		return recorder.CodeTransport, 0, 0
	}
	return answer.GetCode().String(), len(answer.GetParts()), int(answer.GetCoverage().GetAsked())
}
