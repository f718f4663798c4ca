package forwarder

const (
	// workRequest is the handling of a caller's request and workCall a call to a leaf.
	workRequest = "request"
	workCall    = "call"
)

// registerPanics registers the counters of panics.
func (n *Node) registerPanics() {
	for _, work := range []string{workRequest, workCall} {
		n.config.Metrics.GetOrCreateCounter(panicsName(work))
	}
}

func (n *Node) countPanic(work string) {
	n.config.Metrics.GetOrCreateCounter(panicsName(work)).Inc()
}

func panicsName(work string) string {
	return `stepfront_panics_total{work="` + work + `"}`
}
