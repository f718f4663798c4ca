package limiter

import (
	"slices"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

// nodesPerPeriod is the number of peers from which reports are sent half as often.
const nodesPerPeriod = 12

// Reports returns the reports that are due. It is to be called every ReportPeriod.
func (l *Limiter) Reports(now time.Time) []Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.updatePeers(now)
	heartbeat := now.Sub(l.lastHeartbeat) >= heartbeatPeriod
	if heartbeat {
		l.endLimits(now)
	}
	if len(l.accounts) == 0 || len(l.peers) == 0 {
		l.forgetUnreported(now)
		return nil
	}
	if !l.participates() {
		return nil
	}
	var selected []*account
	var urgent bool
	if now.Sub(l.lastReport) >= l.reportPeriod() {
		selected, urgent = l.selectAccounts(now, heartbeat)
	}
	recipients := l.recipients(heartbeat || len(selected) > 0)
	if len(recipients) == 0 {
		return nil
	}
	if heartbeat || len(selected) > 0 {
		l.lastReport = now
	}
	if heartbeat {
		l.lastHeartbeat = now
	}
	l.sequence++
	l.sentAt[l.sequence%sentReports] = now
	message := &pb.QuotaReport{
		Process: l.config.Process, Sequence: l.sequence, Confirm: urgent || !l.contact.permitted,
	}
	for _, a := range selected {
		granted, recent, demand := a.granter.Report(l.situation(a, now), l.sequence)
		addEntry(message, a.hash, granted, recent, demand)
	}
	if heartbeat {
		l.addRefresh(message)
	}
	return l.address(message, recipients, now)
}

// Confirmations returns the reports for nodes that wait for a confirmation of theirs. It is to be called after Receive.
// With many nodes those that have had a report just now wait for the next call of Reports. A node that has no callers
// any more confirms as well: grants that nobody confirms count against the others' shares.
func (l *Limiter) Confirmations(now time.Time) []Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sequence == 0 || len(l.accounts) == 0 {
		return nil
	}
	many := l.participates() && len(l.peers) >= nodesPerPeriod
	recipients := slices.DeleteFunc(l.recipients(false), func(p *peer) bool {
		return many && now.Sub(p.reportedAt) < l.reportPeriod()
	})
	return l.address(&pb.QuotaReport{Process: l.config.Process, Sequence: l.sequence}, recipients, now)
}

// participates tells whether this node serves callers or has served some just now. Other nodes send no reports.
func (l *Limiter) participates() bool {
	return l.view.Serving || len(l.active) > 0
}

// recipients returns the peers to which a report is due: all of them, or those that wait for one.
func (l *Limiter) recipients(all bool) []*peer {
	var recipients []*peer
	for _, p := range l.peers {
		if all || p.waits {
			recipients = append(recipients, p)
		}
	}
	return recipients
}

// reportPeriod is the shortest time between two reports to all peers. With many of them it is longer.
func (l *Limiter) reportPeriod() time.Duration {
	return ReportPeriod * time.Duration(1+len(l.peers)/nodesPerPeriod)
}

// forgetUnreported resets what there is to report if there is no other node.
func (l *Limiter) forgetUnreported(now time.Time) {
	for _, a := range l.active {
		a.granter.Report(l.situation(a, now), l.sequence)
		a.isActive = false
	}
	l.active = l.active[:0]
}

func (l *Limiter) activate(a *account) {
	if !a.isActive {
		a.isActive = true
		l.active = append(l.active, a)
	}
}

// selectAccounts returns the accounts that the others must be told of now: the urgent ones and, with a heartbeat, those
// of which they don't know all.
func (l *Limiter) selectAccounts(now time.Time, heartbeat bool) (selected []*account, anyUrgent bool) {
	var urgent, others []*account
	l.active = slices.DeleteFunc(l.active, func(a *account) bool {
		switch {
		case a.granter.Urgent(l.situation(a, now)):
			urgent = append(urgent, a)
		case heartbeat && a.granter.Changed(now):
			others = append(others, a)
		case heartbeat && a.granter.Idle(now):
			a.isActive = false
		}
		return !a.isActive
	})
	selected = append(rotate(urgent, l.rotation), rotate(others, l.rotation)...)
	l.rotation++
	return selected[:min(len(selected), maxEntries)], len(urgent) > 0
}

// rotate returns the accounts in an order in which each comes first in turn.
func rotate(accounts []*account, by int) []*account {
	if len(accounts) == 0 {
		return nil
	}
	by %= len(accounts)
	return slices.Concat(accounts[by:], accounts[:by])
}

// addRefresh repeats some accounts for nodes that have missed a report.
func (l *Limiter) addRefresh(message *pb.QuotaReport) {
	for i := range min(refreshEntries, len(l.active), max(0, maxEntries-len(message.GetAccounts()))) {
		a := l.active[(l.rotation*refreshEntries+i)%len(l.active)]
		if slices.Contains(message.GetAccounts(), a.hash) {
			continue
		}
		granted, demand := a.granter.Known()
		addEntry(message, a.hash, granted, 0, demand)
	}
}

// address returns the message for each recipient, with what this node has heard from it. Peers that may lack earlier
// reports get all active accounts.
func (l *Limiter) address(message *pb.QuotaReport, recipients []*peer, now time.Time) []Report {
	reports := make([]Report, 0, len(recipients))
	for _, p := range recipients {
		p.waits, p.reportedAt = false, now
		m := &pb.QuotaReport{
			Process: message.GetProcess(), Sequence: message.GetSequence(),
			HeardProcess: p.process, HeardSequence: p.sequence, Accounts: message.GetAccounts(),
			Granted: message.GetGranted(), Recent: message.GetRecent(), Demand: message.GetDemand(),
			Confirm: message.GetConfirm() || p.confirmed == 0,
		}
		if p.refresh {
			p.refresh = false
			l.addAll(m)
		}
		reports = append(reports, Report{To: p.name, Message: m})
	}
	return reports
}

// addAll adds all active accounts that a message lacks.
func (l *Limiter) addAll(m *pb.QuotaReport) {
	m.Accounts, m.Granted = slices.Clone(m.GetAccounts()), slices.Clone(m.GetGranted())
	m.Recent, m.Demand = slices.Clone(m.GetRecent()), slices.Clone(m.GetDemand())
	for _, a := range l.active {
		if !slices.Contains(m.GetAccounts(), a.hash) {
			granted, demand := a.granter.Known()
			addEntry(m, a.hash, granted, 0, demand)
		}
	}
}

func addEntry(m *pb.QuotaReport, hash uint64, granted, recent int64, demand float64) {
	m.Accounts = append(m.Accounts, hash)
	m.Granted = append(m.Granted, granted)
	m.Recent = append(m.Recent, recent)
	m.Demand = append(m.Demand, uint64(demand*demandUnits))
}

// endLimits notes which accounts are not limited any more.
func (l *Limiter) endLimits(now time.Time) {
	for _, a := range l.accounts {
		if a.limited && now.Sub(a.refusedAt) >= calmPeriod {
			a.limited = false
			l.reportChange(a, l.situation(a, now))
		}
	}
}
