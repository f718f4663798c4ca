package gatherer

import "sync/atomic"

const (
	sendPending int32 = iota
	sendBegun
	sendWithdrawn
)

// sendState decides between sending a call and withdrawing it: only one of the two succeeds. A request whose calls were
// all withdrawn has certainly not run. The zero value is a call that is neither sent nor withdrawn.
type sendState struct {
	state atomic.Int32
}

// begin reports whether the call may be sent now.
func (s *sendState) begin() bool { return s.state.CompareAndSwap(sendPending, sendBegun) }

// withdraw reports whether the call has not been sent and will not be.
func (s *sendState) withdraw() bool { return s.state.CompareAndSwap(sendPending, sendWithdrawn) }

// pending reports whether the call has been neither sent nor withdrawn.
func (s *sendState) pending() bool { return s.state.Load() == sendPending }
