package controller

import (
	"github.com/magnoliastep/magnoliastep/internal/config/keyer"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

type (
	zoneVerb struct {
		Out  zoneOutVerb  `cmd:"" help:"Take the zone out of service: it receives no new work."`
		Back zoneBackVerb `cmd:"" help:"Bring the zone back; its leaves start cold."`
	}

	zoneOutVerb struct {
		zoneArguments
	}

	zoneBackVerb struct {
		zoneArguments
	}

	zoneArguments struct {
		Name   string `arg:"" help:"Name of the availability zone."`
		Reason string `required:"" help:"Why; kept in the audit trail."`
	}
)

// Run implements the verb.
func (v *zoneOutVerb) Run(s *session) error {
	return v.set(s, true)
}

// Run implements the verb.
func (v *zoneBackVerb) Run(s *session) error {
	return v.set(s, false)
}

// set changes the version that was read, so that a racing change is a conflict.
func (v *zoneArguments) set(s *session, out bool) error {
	o, err := s.get(keyer.Join(keyer.KindAvailabilityZone, v.Name))
	if err != nil {
		return err
	}
	changed := &pb.ConfigObject{Spec: &pb.ConfigObject_AvailabilityZone{AvailabilityZone: &pb.AvailabilityZone{
		Name: v.Name, Region: o.GetAvailabilityZone().GetRegion(), OutOfService: out,
	}}}
	return s.apply(changed, o.GetVersion(), v.Reason)
}
