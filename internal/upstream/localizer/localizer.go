// Package localizer decides whether a call leaves the availability zone of this node. It weighs what the answer would
// lose if the call came late against the bytes that a call to another zone moves between zones. It reads no clock and
// sends nothing.
//
// It is built for services that have few leaves in each zone. Most of the time the zone's own leaf suffices, although
// it is not the fastest at every moment; now and then it pauses, slows down, fails, is cold or has more calls than it
// can answer. A call then leaves the zone as soon as the loss that is to be expected exceeds the cost of its bytes, and
// the next one stays as soon as it does not. Calls that are urgent, or whose part the answer can't do without, leave
// earlier than others. The cost per call varies a little, so that the nodes of a zone that see the same leaf slow down
// send a growing share of their calls away instead of all at once.
package localizer

import "time"

// DefaultTrafficCost is what a megabyte between zones costs if a deployment does not say otherwise, in units of the
// value of one request.
const DefaultTrafficCost = 3

const (
	// costJitter is the largest share by which the cost of a call's bytes is changed at random, up or down.
	costJitter       = 0.25
	bytesPerMegabyte = 1 << 20
)

type (
	// Config holds what a Localizer needs.
	Config struct {
		// TrafficCost is what a megabyte between zones costs, in units of the value of one request; at least 0.
		TrafficCost float64
		// Random returns random numbers from 0 to 1. It must be safe for concurrent use.
		Random func() float64
	}

	// Stake is what a request loses if a call is not answered within some time.
	Stake struct {
		// Left is the time left; a time that has passed is 0 or less.
		Left time.Duration
		// Loss is the share of the request's value that is lost, 0 to 1.
		Loss float64
	}

	// Call describes a call that is to be sent.
	Call struct {
		// InTime is at stake until the target of the request, and InAnyCase until its timeout.
		InTime, InAnyCase Stake
		// Bytes is the expected size of the request and its answer.
		Bytes int
	}

	// Localizer weighs the leaves of a call. It is safe for concurrent use.
	Localizer struct {
		config Config
	}
)

// New returns a Localizer.
func New(c Config) *Localizer {
	return &Localizer{config: c}
}

// TrafficCost returns the cost of sending the call to another zone, as a share of the request's value. It varies from
// call to call, and holds for all leaves of one call.
func (z *Localizer) TrafficCost(c Call) float64 {
	jitter := 1 + costJitter*(2*z.config.Random()-1)
	return jitter * z.config.TrafficCost * float64(c.Bytes) / bytesPerMegabyte
}

// Loss returns the loss to expect from a call with the given expected latency, as a share of the request's value. It
// rises with the latency.
func (z *Localizer) Loss(c Call, expected time.Duration) float64 {
	return c.InTime.expect(expected) + c.InAnyCase.expect(expected)
}

// expect returns the loss multiplied by the chance that a call with the given expected latency takes longer than the
// time left. Latencies are taken for log-logistic with shape 3: one call in about a hundred takes five times as long as
// expected.
func (s Stake) expect(latency time.Duration) float64 {
	if s.Left <= 0 {
		return s.Loss
	}
	ratio := float64(s.Left) / float64(max(latency, time.Microsecond))
	return s.Loss / (1 + ratio*ratio*ratio)
}
