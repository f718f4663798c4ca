package pruner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/forward/pruner"
)

// Guards against metrics of removed routes that stay, and against the loss of metrics of those that remain.
func TestMetricsOfRemovedRoutesAreUnregistered(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	for _, name := range []string{
		`requests_total{route="kept"}`, `requests_total{route="removed"}`, `requests_total{status="200",route="removed"}`,
		`requests_total{route="removed2"}`, `requests_total{subroute="removed"}`, `calls_total{service="removed"}`,
		`plain_total`, `requests_total{route="removed \"quoted\""}`, `requests_total{route="kept \"removed\""}`,
	} {
		set.NewCounter(name)
	}
	pruner.New(pruner.Config{Metrics: set}).Prune("route", []string{"kept", "removed", `removed "quoted"`},
		[]string{"kept", "added"})
	names := set.ListMetricNames()
	slices.Sort(names)
	is.Equal(names, []string{
		`calls_total{service="removed"}`, `plain_total`, `requests_total{route="kept \"removed\""}`,
		`requests_total{route="kept"}`, `requests_total{route="removed2"}`, `requests_total{subroute="removed"}`,
	})
}

// BenchmarkPrune shows whether the time grows faster than the number of routes.
func BenchmarkPrune(b *testing.B) {
	for _, routes := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			p := pruner.New(pruner.Config{Metrics: metrics.NewSet()})
			names := make([]string, routes)
			for i := range names {
				names[i] = fmt.Sprintf("route-%d", i)
			}
			for range b.N {
				p.Prune("route", names, names)
			}
		})
	}
}
