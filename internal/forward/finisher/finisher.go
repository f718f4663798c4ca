// Package finisher decides until when a node that is about to stop may send a request to a leaf. It reads no clock and
// sends nothing.
//
// A request that is still at a leaf when the node ends its requests has run in vain, and its caller can't know whether
// it has run. A request that is refused before it is sent can be sent through another node at once.
package finisher

import "time"

// latencyFactor is the multiple of the usual latency within which nearly all answers arrive.
const latencyFactor = 2

// Request describes a request that has not been sent.
type Request struct {
	// EndsBy is when the request ends at the latest, by its caller's deadline or its route's timeout.
	EndsBy time.Time
	// TargetLatency is the latency that the route is to have, and TypicalLatency the one that its calls have had.
	TargetLatency, TypicalLatency time.Duration
	// Idempotent is set if the caller may send the request again when it is cut off.
	Idempotent bool
}

// SendUntil returns until when the request may be sent by a node that ends all requests at endAt. A request that may
// not be repeated is sent only if it ends by itself before; otherwise the result is the zero time.
func SendUntil(r Request, endAt time.Time) time.Time {
	switch {
	case !r.EndsBy.After(endAt):
		return endAt
	case !r.Idempotent:
		return time.Time{}
	}
	return endAt.Add(-max(r.TargetLatency, latencyFactor*r.TypicalLatency))
}
