package forwarder

import (
	"sync"
	"time"

	"github.com/coder/quartz"
)

// orderReturnTime is how long an order of the operator stays in force when the store was restored from a copy that does
// not have it. It is over twice the time in which leaves write their entries again.
const orderReturnTime = 5 * time.Second

// pendingEnds ends what is missing from a restored store, unless its owner writes it again in time. It is safe for
// concurrent use.
type pendingEnds struct {
	clock quartz.Clock
	mutex sync.Mutex
	// timers has the timer of each pending end, by name.
	timers map[string]*quartz.Timer
}

func newPendingEnds(clock quartz.Clock) *pendingEnds {
	return &pendingEnds{clock: clock, timers: map[string]*quartz.Timer{}}
}

// schedule calls end after a time unless cancel is called before.
func (p *pendingEnds) schedule(name string, after time.Duration, end func()) {
	p.cancel(name)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var timer *quartz.Timer
	timer = p.clock.AfterFunc(after, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.timers[name] == timer {
			delete(p.timers, name)
			end()
		}
	})
	p.timers[name] = timer
}

// cancel cancels a pending end. Once it has returned, the end is not called any more.
func (p *pendingEnds) cancel(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if timer := p.timers[name]; timer != nil {
		timer.Stop()
		delete(p.timers, name)
	}
}
