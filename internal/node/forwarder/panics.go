package forwarder

import "context"

const (
	// workRequest is the handling of a caller's request and workCall a call to a leaf. workFrame is the handling of what
	// another node has sent, and workDocument that of a document.
	workRequest  = "request"
	workCall     = "call"
	workFrame    = "frame"
	workDocument = "document"
	// workLoop is a loop that runs as long as the node.
	workLoop = "loop"
)

// registerPanics registers the counters of panics.
func (n *Node) registerPanics() {
	for _, work := range []string{workRequest, workCall, workFrame, workDocument, workLoop} {
		n.config.Metrics.GetOrCreateCounter(panicsName(work))
	}
}

// startLoop runs a loop. After a panic its state is not known, so the node makes a planned stop.
func (n *Node) startLoop(ctx context.Context, run func(context.Context)) {
	go func() {
		if err := n.isolator.Run(workLoop, func() { run(ctx) }); err != nil {
			n.failures <- err
		}
	}()
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
