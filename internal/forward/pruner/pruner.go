// Package pruner unregisters the metrics of routes and services that a new configuration does not have any more.
// Without it the metrics of a process that runs for months would grow with each change of the configuration.
package pruner

import (
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

type (
	// Config holds what a Pruner needs.
	Config struct {
		Metrics *metrics.Set
	}

	// Pruner unregisters metrics. It is safe for concurrent use.
	Pruner struct {
		config Config
	}
)

// New returns a Pruner.
func New(c Config) *Pruner {
	return &Pruner{config: c}
}

// Prune unregisters the metrics whose label has a value that is among the old ones and not among the current ones. Its
// time grows in proportion to the values and the registered metrics.
func (p *Pruner) Prune(label string, old, current []string) {
	removed := make(map[string]bool, len(old))
	for _, v := range old {
		removed[v] = true
	}
	for _, v := range current {
		delete(removed, v)
	}
	if len(removed) == 0 {
		return
	}
	for _, name := range p.config.Metrics.ListMetricNames() {
		if value, labelled := labelValue(name, label); labelled && removed[value] {
			p.config.Metrics.UnregisterMetric(name)
		}
	}
}

// labelValue returns the value of a label in the full name of a metric, in which values are quoted as by strconv.Quote.
func labelValue(name, label string) (value string, labelled bool) {
	for _, start := range []string{"{", ","} {
		_, rest, found := strings.Cut(name, start+label+"=")
		if !found {
			continue
		}
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return "", false
		}
		value, err = strconv.Unquote(quoted)
		return value, err == nil
	}
	return "", false
}
