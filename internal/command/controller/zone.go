package controller

import (
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	zoneCommand struct {
		Out  zoneOutCommand  `cmd:"" help:"Take the zone out of service: it receives no new work."`
		Back zoneBackCommand `cmd:"" help:"Bring the zone back; its leaves start cold."`
	}

	zoneOutCommand struct {
		zoneArguments
	}

	zoneBackCommand struct {
		zoneArguments
	}

	zoneArguments struct {
		Name   string `arg:"" help:"Name of the availability zone."`
		Reason string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Run executes the command.
func (v *zoneOutCommand) Run(s *session) error {
	return v.setOutOfService(s, true)
}

// Run executes the command.
func (v *zoneBackCommand) Run(s *session) error {
	return v.setOutOfService(s, false)
}

// setOutOfService applies the change to the version that it read, so that a concurrent change causes a conflict.
func (v *zoneArguments) setOutOfService(s *session, out bool) error {
	o, err := s.get(keyer.Join(keyer.KindAvailabilityZone, v.Name))
	if err != nil {
		return err
	}
	changed := &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: &pb.AvailabilityZone{
		Name: v.Name, Region: o.GetAvailabilityZone().GetRegion(), OutOfService: out,
	}}}
	return s.apply(changed, o.GetVersion(), v.Reason)
}
