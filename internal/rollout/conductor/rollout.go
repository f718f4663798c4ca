package conductor

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/rollout/judge"
	"github.com/magnoliastep/magnoliastep/internal/rollout/planner"
	"github.com/magnoliastep/magnoliastep/internal/rollout/splitter"
	"github.com/magnoliastep/magnoliastep/internal/upstream/balancer"
)

// startPart is the part of the bound's fixed number of calls that may go to a new version before its share counts, so
// that it is also judged where there are few calls.
const startPart = 0.3

type (
	// rollout is what a node knows of the roll-out of one service. The Conductor's mutex guards it.
	rollout struct {
		// order has the state that is in force here; a final state stays in force.
		order Order
		// stored is the state that the store has. It falls back if the store comes back from an older copy.
		stored State
		// id identifies the order, whatever its status.
		id       uint64
		splitter *splitter.Splitter
		judge    *judge.Judge
		verdict  judge.Verdict
		// knownSince is when the order would have been written by what is known of its age. ageObserved is set
		// if a node has known it from the beginning, so that this isn't from the store's time.
		knownSince  time.Time
		ageObserved bool
		// counts has the answers that this node got.
		counts map[judge.Source]*judge.Counts
		// reports has what each node has reported to this one, itself included.
		reports map[string]*report
		// answers counts the answers of all nodes that have been reported, exposed those of the new version.
		answers, exposed uint64
		// plan is this node's own plan, which counts if this node ranks first.
		plan planner.Plan
		// acknowledged has what the nodes that decide have been told, by name.
		acknowledged map[string]*acknowledgement
		// advice is the last plan of each node that has answered a report.
		advice map[string]advice
		// movedTicks counts the ticks in a row without an open call to other versions since the split was
		// sealed.
		movedTicks int
		// stopReason says why this node sends nothing to the new version any more; "" while it may.
		stopReason string
		// writing is set while a status is being written. It isn't tried again before writeAfter, unless the
		// order has another revision by then.
		writing    bool
		writeAfter time.Time
	}

	// report is what one node has reported.
	report struct {
		at     time.Time
		epoch  int64
		counts map[judge.Source]judge.Counts
		moved  bool
	}

	// acknowledgement is what a node has been told since its start, which the epoch identifies.
	acknowledgement struct {
		epoch int64
		// answers is the number of answers of each source.
		answers map[judge.Source]uint64
	}

	// advice is the plan of another node.
	advice struct {
		at     time.Time
		share  float64
		sealed bool
	}
)

func newRollout(o Order, c Config, now time.Time) *rollout {
	nodes := float64(max(1, len(c.Fleet.Members())))
	r := &rollout{
		order: o, id: identityOf(o), judge: judge.New(), knownSince: now, ageObserved: o.State == StateNone,
		splitter: splitter.New(splitter.Config{
			TargetVersion: o.TargetVersion, Credit: c.Random() + startPart*c.Bounds().Slack/nodes,
		}),
		counts: map[judge.Source]*judge.Counts{}, reports: map[string]*report{}, advice: map[string]advice{},
		acknowledged: map[string]*acknowledgement{},
	}
	r.order.State = StateNone
	if !r.ageObserved && !o.CreatedAt.IsZero() {
		age := min(max(now.Sub(o.CreatedAt), 0), o.Duration)
		r.knownSince = now.Add(-age)
	}
	return r
}

// identityOf returns what tells an order from another for the same service.
func identityOf(o Order) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %d %d", o.Service, o.TargetVersion, o.Duration, o.CreatedAt.UnixNano()))
}

func (r *rollout) isFinal() bool {
	return r.order.State == StateCompleted || r.order.State == StateReverted
}

// isSettled reports whether nothing is left to do.
func (r *rollout) isSettled() bool { return r.isFinal() && r.stored == r.order.State }

func (r *rollout) age(now time.Time) time.Duration { return now.Sub(r.knownSince) }

// adoptAge takes the age that another node states. One that was observed replaces one from the store's time, and the
// larger one counts of two that were observed.
func (r *rollout) adoptAge(age time.Duration, observed bool, now time.Time) {
	if !observed || r.ageObserved && age <= r.age(now) {
		return
	}
	r.knownSince, r.ageObserved = now.Add(-age), true
}

// stop sends nothing to the new version from now on. It returns whether this node did so before.
func (r *rollout) stop(reason string) bool {
	if r.stopReason != "" {
		return true
	}
	r.stopReason = reason
	r.splitter.Stop()
	return false
}

// departed returns the split of a completed roll-out: it only excludes the leaves that have stopped.
func (r *rollout) departed() balancer.Split { return departedSplit{r.splitter} }

// departedSplit divides no calls.
type departedSplit struct{ *splitter.Splitter }

// IsTarget reports that all versions are alike.
func (departedSplit) IsTarget(string) bool { return true }

// merge takes a report. What was counted since the last one is judged.
func (r *rollout) merge(from string, m *pb.RolloutReport, now time.Time) {
	previous := r.reports[from]
	if previous == nil || previous.epoch != m.GetEpoch() {
		previous = &report{epoch: m.GetEpoch(), counts: map[judge.Source]judge.Counts{}}
		r.reports[from] = previous
	}
	previous.at, previous.moved = now, m.GetMoved()
	for _, k := range m.GetCounts() {
		source := judge.Source{Route: k.GetRoute(), Leaf: k.GetLeaf(), Cold: k.GetCold()}
		counts := judge.Counts{Failures: k.GetFailures()}
		copy(counts.Latencies[:], k.GetLatencies())
		added := counts.Since(previous.counts[source])
		previous.counts[source] = counts
		r.judge.Add(source, added, now)
		r.answers += added.Answers()
		if source.Leaf != "" {
			r.exposed += added.Answers()
		}
	}
}

// unmoved returns the number of members that haven't reported lately that they have left the other versions.
func (r *rollout) unmoved(members []*pb.Member, now time.Time) int {
	unmoved := 0
	for _, m := range members {
		if p := r.reports[m.GetName()]; p == nil || !p.moved || now.Sub(p.at) > maxReportAge {
			unmoved++
		}
	}
	return unmoved
}

// acknowledge notes that a node has taken counts. A node that has started since has lost what it was told before.
func (r *rollout) acknowledge(by string, epoch int64, counts []*pb.RolloutCount) {
	a := r.acknowledged[by]
	if a == nil || a.epoch != epoch {
		r.acknowledged[by] = &acknowledgement{epoch: epoch, answers: map[judge.Source]uint64{}}
		if a != nil {
			return
		}
		a = r.acknowledged[by]
	}
	for _, k := range counts {
		sum := k.GetFailures()
		for _, n := range k.GetLatencies() {
			sum += n
		}
		a.answers[judge.Source{Route: k.GetRoute(), Leaf: k.GetLeaf(), Cold: k.GetCold()}] = sum
	}
}

// hearsMost reports whether most members have reported lately. Otherwise this node may have been frozen or cut off, and
// does not know what the others have found.
func (r *rollout) hearsMost(members []*pb.Member, now time.Time) bool {
	heard := 0
	for _, m := range members {
		if p := r.reports[m.GetName()]; p != nil && now.Sub(p.at) <= maxReportAge {
			heard++
		}
	}
	return 2*heard > len(members)
}

// encode returns the counts of this node that another one has not been told yet.
func (r *rollout) encode(to string) []*pb.RolloutCount {
	var list []*pb.RolloutCount
	for s, c := range r.counts {
		if a := r.acknowledged[to]; a != nil && a.answers[s] == c.Answers() {
			continue
		}
		used := len(c.Latencies)
		for used > 0 && c.Latencies[used-1] == 0 {
			used--
		}
		list = append(list, &pb.RolloutCount{
			Route: s.Route, Leaf: s.Leaf, Cold: s.Cold, Failures: c.Failures,
			Latencies: append([]uint64(nil), c.Latencies[:used]...),
		})
	}
	return list
}
