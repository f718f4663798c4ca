package gatherer

// Recheck makes all requests that wait ask their MaySend at once.
func (g *Gatherer) Recheck() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.rechecks)
	g.rechecks = make(chan struct{})
}

// awaitRecheck makes the run wait for the next call of Recheck.
func (n *run) awaitRecheck() {
	if n.request.MaySend == nil {
		return
	}
	n.gatherer.mutex.Lock()
	defer n.gatherer.mutex.Unlock()
	n.recheck = n.gatherer.rechecks
}

// maySend reports whether the request may still be sent to leaves. It is called by several goroutines.
func (n *run) maySend() bool {
	return n.request.MaySend == nil || n.request.MaySend()
}

// refuseForbidden withdraws the calls that wait once the request may not be sent any more, and reports whether no leaf
// will run it. Calls that have been sent may still be answered.
func (n *run) refuseForbidden() bool {
	if n.maySend() {
		return false
	}
	n.result.Forbidden = true
	n.withdrawUnsent()
	for i := range n.shards {
		if s := &n.shards[i]; s.possibleRuns == 0 {
			n.endSends(s)
			s.done = true
		}
	}
	return !n.mayHaveRun()
}
