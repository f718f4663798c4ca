package limiter

import (
	"math"
	"slices"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/granter"
)

type (
	// account is this node's state of one account with a quota.
	account struct {
		quota   Account
		hash    uint64
		granter *granter.Granter
		// extra is the number of requests that this node may grant beyond its share within a window.
		extra int
		// rank is the number of other nodes that come first for grants beyond the share.
		rank int
		// extraOfAll is the number of requests that all nodes may grant beyond their shares within a window.
		extraOfAll float64
		// othersDemand is the sum of the demands that peers have reported, silentDemand that of silent peers.
		othersDemand, silentDemand float64
		// entries has what each peer has reported, by the peer's slot.
		entries []entry
		// isActive is set if the account is in the list of active ones.
		isActive bool
		// limited is set from the first refusal until calmPeriod after the last one, at refusedAt.
		limited          bool
		refusedAt        time.Time
		grants, refusals int64
	}

	// peer is another node that may grant requests.
	peer struct {
		name string
		// slot is unique among the peers and less than the number of peers that there ever were at once.
		slot    int
		process uint32
		// heardAt is when the last report has arrived, or since when the node is known. sequence is the largest number of a
		// report of its process, 0 if there was none.
		heardAt  time.Time
		sequence uint64
		// confirmed is the number of the latest report that the peer has confirmed, 0 if there is none, and confirmedAt is
		// when it was sent.
		confirmed   uint64
		confirmedAt time.Time
		// waits is set if the peer waits for a report; the last one was made at reportedAt.
		waits      bool
		reportedAt time.Time
		// silent is set if its reports are overdue. resumedAfter is the number of its last report before it was silent.
		silent       bool
		resumedAfter uint64
		// refresh is set if it may lack reports of this process.
		refresh bool
	}

	// entry is what a peer has reported of an account in the report with the number sequence; 0 if it has not.
	entry struct {
		granted  int64
		sequence uint64
		demand   float32
		// reserved is the number of requests taken from the level when the peer became silent.
		reserved float32
	}

	// contact is what the reports of the other nodes say of this node's permission.
	contact struct {
		// nodes is the number of nodes that may grant, silent ones and this one included; silent counts the silent ones.
		nodes, silent int
		// permitted is set if this node may take its share until a time.
		permitted bool
		until     time.Time
		// confirmed is the number of the latest report that all peers have received that may rely on it.
		confirmed uint64
	}
)

// entry returns what the peer in a slot has reported.
func (a *account) entry(slot int) entry {
	if slot >= len(a.entries) {
		return entry{}
	}
	return a.entries[slot]
}

// setEntry changes what the peer in a slot has reported.
func (a *account) setEntry(slot int, e entry) {
	for slot >= len(a.entries) {
		a.entries = append(a.entries, entry{})
	}
	a.entries[slot] = e
}

// forget drops what the peer in a slot has reported.
func (a *account) forget(slot int, silent bool) {
	demand := float64(a.entry(slot).demand)
	a.othersDemand = max(0, a.othersDemand-demand)
	if silent {
		a.silentDemand = max(0, a.silentDemand-demand)
	}
	if slot < len(a.entries) {
		a.entries[slot] = entry{}
	}
}

func (c contact) permittedAt(now time.Time) bool {
	return c.permitted && now.Before(c.until)
}

// Receive takes in a report of another node.
func (l *Limiter) Receive(from string, r *pb.QuotaReport, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if from == l.config.NodeName || r.GetProcess() == 0 || !wellFormed(r) {
		return
	}
	p := l.peers[from]
	if p == nil {
		p = l.addPeer(from, now)
	}
	if p.process != r.GetProcess() {
		l.restarted(p, r.GetProcess(), now)
	}
	// A node that has no callers any more only confirms, and is forgotten as if it were silent.
	if len(r.GetAccounts()) > 0 || slices.Contains(l.view.Peers, from) {
		if p.silent {
			l.setSilent(p, false, now)
			p.refresh = true
		}
		p.heardAt = now
	}
	p.sequence = max(p.sequence, r.GetSequence())
	p.waits = p.waits || r.GetConfirm()
	l.confirm(p, r)
	for i, hash := range r.GetAccounts() {
		l.apply(p, hash, r, i, now)
	}
	l.updatePeers(now)
}

// wellFormed tells whether the lists of a report belong together.
func wellFormed(r *pb.QuotaReport) bool {
	n := len(r.GetAccounts())
	return len(r.GetGranted()) == n && len(r.GetRecent()) == n && len(r.GetDemand()) == n
}

// restarted forgets the reports of a peer's former process, and reserves what that may have granted without a report.
func (l *Limiter) restarted(p *peer, process uint32, now time.Time) {
	if p.process != 0 && !p.silent {
		l.setSilent(p, true, now)
	}
	for _, a := range l.accounts {
		a.forget(p.slot, p.silent)
	}
	*p = peer{name: p.name, slot: p.slot, heardAt: now, process: process, refresh: true}
}

// confirm notes which of this node's reports the peer has received.
func (l *Limiter) confirm(p *peer, r *pb.QuotaReport) {
	heard := r.GetHeardSequence()
	if r.GetHeardProcess() != l.config.Process || heard == 0 || heard > l.sequence || l.sequence-heard >= sentReports {
		return
	}
	if heard > p.confirmed {
		p.confirmed, p.confirmedAt = heard, l.sentAt[heard%sentReports]
	}
}

// apply takes one account of a report into account.
func (l *Limiter) apply(p *peer, hash uint64, r *pb.QuotaReport, i int, now time.Time) {
	a := l.byHash[hash]
	if a == nil {
		return
	}
	e := a.entry(p.slot)
	if r.GetSequence() <= e.sequence {
		return
	}
	known := e.sequence > 0
	granted, demand := r.GetGranted()[i], float32(min(float64(r.GetDemand()[i])/demandUnits, maxRate))
	spent := float64(r.GetRecent()[i])
	if known {
		spent = float64(granted - e.granted)
	}
	spent = min(max(spent, -maxRate), maxRate)
	if e.reserved > 0 {
		spent = max(0, spent-float64(e.reserved))
	}
	a.othersDemand = max(0, a.othersDemand+float64(demand)-float64(e.demand))
	a.setEntry(p.slot, entry{granted: granted, sequence: r.GetSequence(), demand: demand})
	if known && e.sequence <= p.resumedAfter {
		a.granter.Resume(l.situation(a, now), spent)
		return
	}
	a.granter.Spend(l.situation(a, now), spent)
}

// setSilent notes that the reports of a peer are overdue, or come again. While they are overdue, what the peer may have
// taken stays reserved.
func (l *Limiter) setSilent(p *peer, silent bool, now time.Time) {
	p.silent = silent
	if silent {
		p.resumedAfter = p.sequence
	}
	for _, a := range l.accounts {
		e := a.entry(p.slot)
		demand := float64(e.demand)
		switch {
		case demand == 0:
		case silent:
			e.reserved += float32(a.granter.Reserve(l.situation(a, now), demand))
			a.setEntry(p.slot, e)
			a.silentDemand += demand
		default:
			a.silentDemand = max(0, a.silentDemand-demand)
		}
	}
}

// drop forgets a peer that grants nothing any more.
func (l *Limiter) drop(p *peer) {
	for _, a := range l.accounts {
		a.forget(p.slot, p.silent)
	}
	delete(l.peers, p.name)
}

// addPeer adds a node that may grant requests, in the first free slot.
func (l *Limiter) addPeer(name string, now time.Time) *peer {
	used := make([]bool, len(l.peers)+1)
	for _, p := range l.peers {
		if p.slot < len(used) {
			used[p.slot] = true
		}
	}
	p := &peer{name: name, slot: slices.Index(used, false), heardAt: now}
	l.peers[name] = p
	return p
}

// updatePeers finds the peers that have become silent or that grant nothing any more, and whether this node may take
// its share.
func (l *Limiter) updatePeers(now time.Time) {
	serving := make(map[string]bool, len(l.view.Peers))
	for _, name := range l.view.Peers {
		serving[name] = true
	}
	mostAlive := l.view.Alive > l.view.Lost
	for _, p := range l.peers {
		age := now.Sub(p.heardAt)
		if !serving[p.name] && mostAlive && age > contactPeriod+releaseMargin {
			l.drop(p)
			continue
		}
		if !p.silent && age > silentAfter {
			l.setSilent(p, true, now)
		}
	}
	before := l.contact.nodes
	l.updateContact(now)
	if l.contact.nodes != before {
		for _, a := range l.accounts {
			l.updateExtra(a)
		}
	}
}

// updateContact decides whether this node may take its share: if it is in contact with most of the nodes that may
// grant, and enough of the fleet is alive.
func (l *Limiter) updateContact(now time.Time) {
	c := contact{nodes: len(l.peers) + 1, until: now.Add(contactPeriod), confirmed: math.MaxUint64}
	if !l.view.Known {
		c.nodes = max(c.nodes, assumedNodes)
	}
	var confirmedAt []time.Time
	for _, p := range l.peers {
		if p.silent {
			c.silent++
		}
		if now.Sub(p.confirmedAt) < contactPeriod {
			confirmedAt = append(confirmedAt, p.confirmedAt)
		}
	}
	needed := (c.nodes+1)/2 - 1
	c.permitted = l.enoughAlive(c.silent) && len(confirmedAt) >= needed
	if c.permitted && needed > 0 {
		slices.SortFunc(confirmedAt, func(a, b time.Time) int { return b.Compare(a) })
		c.until = confirmedAt[needed-1].Add(contactPeriod)
	}
	for _, p := range l.peers {
		if l.mustConfirm(p, c, now) {
			c.confirmed = min(c.confirmed, p.confirmed)
		}
	}
	l.contact = c
}

// enoughAlive tells whether most of the fleet is alive, so that no other nodes can use the quotas. With exactly half of
// it alive, this node must know the others whose shares stay reserved.
func (l *Limiter) enoughAlive(silent int) bool {
	return l.view.Alive > l.view.Lost || l.view.Alive == l.view.Lost && silent > 0
}

// mustConfirm tells whether a peer may go on without this node's reports. A silent one does not count if most of the
// others are heard, or once its permission has ended: its share stays reserved. Otherwise it may be this node that is
// cut off.
func (l *Limiter) mustConfirm(p *peer, c contact, now time.Time) bool {
	mostHeard := 2*(c.nodes-c.silent) > c.nodes
	return !p.silent || !mostHeard && now.Sub(p.heardAt) <= contactPeriod+releaseMargin
}
