package dispatcher

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

type (
	// leafMetrics are the metrics of one leaf.
	leafMetrics struct {
		set            *metrics.Set
		names          []string
		calls          *metrics.Counter
		extraCalls     *metrics.Counter
		sheds          *metrics.Counter
		queueDeadlines *metrics.Counter
	}
)

func newLeafMetrics(set *metrics.Set, l *leafDispatcher) *leafMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	m := &leafMetrics{set: set}
	m.calls = m.counter("magnoliastep_leaf_calls_total", l.name)
	m.extraCalls = m.counter("magnoliastep_leaf_extra_calls_total", l.name)
	m.sheds = m.counter("magnoliastep_leaf_sheds_total", l.name)
	m.queueDeadlines = m.counter("magnoliastep_leaf_queue_deadlines_total", l.name)
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
		return float64(l.sender.ConnectionsOpened())
	})
	return m
}

func (m *leafMetrics) counter(name, leaf string) *metrics.Counter {
	fullName := m.register(name, leaf)
	return m.set.GetOrCreateCounter(fullName)
}

func (m *leafMetrics) gauge(name, leaf string, read func() float64) {
	m.set.GetOrCreateGauge(m.register(name, leaf), read)
}

func (m *leafMetrics) register(name, leaf string) string {
	fullName := fmt.Sprintf("%s{leaf=%q}", name, leaf)
	m.names = append(m.names, fullName)
	return fullName
}

// close unregisters the metrics of the leaf.
func (m *leafMetrics) close() {
	for _, n := range m.names {
		m.set.UnregisterMetric(n)
	}
}
