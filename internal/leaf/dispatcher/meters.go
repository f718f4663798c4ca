package dispatcher

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type (
	// meters are the metrics of one lane.
	meters struct {
		set        *metrics.Set
		names      []string
		calls      *metrics.Counter
		extraCalls *metrics.Counter
		sheds      *metrics.Counter
		expired    *metrics.Counter
	}
)

func newMeters(set *metrics.Set, l *lane) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	m := &meters{set: set}
	m.calls = m.counter("magnoliastep_leaf_calls_total", l.name)
	m.extraCalls = m.counter("magnoliastep_leaf_extra_calls_total", l.name)
	m.sheds = m.counter("magnoliastep_leaf_sheds_total", l.name)
	m.expired = m.counter("magnoliastep_leaf_queue_deadlines_total", l.name)
	m.gauge("magnoliastep_leaf_limit", l.name, l.limiter.Limit)
	m.gauge("magnoliastep_leaf_in_flight", l.name, func() float64 { return float64(l.limiter.InFlight()) })
	m.gauge("magnoliastep_leaf_queue_length", l.name, func() float64 {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return float64(l.queue.Len())
	})
	m.gauge("magnoliastep_leaf_cold", l.name, func() float64 {
		if l.limiter.Cold() {
			return 1
		}
		return 0
	})
	m.gauge("magnoliastep_leaf_connections_opened", l.name, func() float64 {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return float64(l.sender.Opened())
	})
	return m
}

func (m *meters) counter(name, leaf string) *metrics.Counter {
	full := m.register(name, leaf)
	return m.set.GetOrCreateCounter(full)
}

func (m *meters) gauge(name, leaf string, read func() float64) {
	m.set.GetOrCreateGauge(m.register(name, leaf), read)
}

func (m *meters) register(name, leaf string) string {
	full := fmt.Sprintf("%s{leaf=%q}", name, leaf)
	m.names = append(m.names, full)
	return full
}

// close takes the metrics of the lane out of the set.
func (m *meters) close() {
	for _, n := range m.names {
		m.set.UnregisterMetric(n)
	}
}
