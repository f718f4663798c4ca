package forwarder

const (
	// workRequest is the handling of a caller's request and workCall a call to a leaf. workFrame is the handling of what
	// another node has sent, and workDocument that of a document.
	workRequest  = "request"
	workCall     = "call"
	workFrame    = "frame"
	workDocument = "document"
)

// registerPanics registers the counters of panics.
func (n *Node) registerPanics() {
	for _, work := range []string{workRequest, workCall, workFrame, workDocument} {
		n.config.Metrics.GetOrCreateCounter(panicsName(work))
	}
}

// isolateFrame handles what another node has sent and returns an error if that panics.
func (n *Node) isolateFrame(f func()) error {
	return n.isolator.Run(workFrame, f)
}

func (n *Node) countPanic(work string) {
	n.config.Metrics.GetOrCreateCounter(panicsName(work)).Inc()
}

func panicsName(work string) string {
	return `stepfront_panics_total{work="` + work + `"}`
}
