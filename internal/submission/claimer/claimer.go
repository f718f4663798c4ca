// Package claimer obtains for one attempt the exclusive right to run a non-idempotent request. It sends the claim to
// the witnesses of the request id concurrently and derives a verdict from their replies. An attempt wins when a
// majority of every group of witnesses granted its claim; two attempts cannot both have a majority.
package claimer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/submission/grouper"
)

const (
	// VerdictWon means that this attempt, and no other, may run the request.
	VerdictWon Verdict = iota + 1
	// VerdictKnown means that the outcome of the request is known.
	VerdictKnown
	// VerdictHeld means that another attempt may be running the request.
	VerdictHeld
	// VerdictLapsed means that another attempt may have run the request and its time is over.
	VerdictLapsed
	// VerdictDuplicate means that the id belongs to another request.
	VerdictDuplicate
	// VerdictNoQuorum means that too few witnesses granted the claim, and that no attempt can have run the request.
	VerdictNoQuorum
	// VerdictUncertain means that too few witnesses replied to rule out an earlier attempt.
	VerdictUncertain
	// VerdictTooOld means that too many witnesses reject the id as too old, because they may have started after an
	// earlier attempt or because of its age.
	VerdictTooOld
)

type (
	// Verdict is the result of a claim.
	Verdict int

	// Peers sends messages to witnesses, which may include this node.
	Peers interface {
		Claim(ctx context.Context, witness *pb.Member, c *pb.SubmitClaim) (*pb.SubmitClaimReply, error)
		Settle(ctx context.Context, witness *pb.Member, s *pb.SubmitSettle)
	}

	// Groups returns the witnesses of a request id.
	Groups interface {
		Groups(id string) [][]*pb.Member
		Resolve(group *pb.WitnessGroup) ([]*pb.Member, bool)
	}

	// Config holds what a Claimer needs.
	Config struct {
		Peers  Peers
		Groups Groups
		// Timeout is the longest wait for the replies of the witnesses.
		Timeout time.Duration
	}

	// Claimer claims request ids. It is safe for concurrent use.
	Claimer struct {
		config Config
	}

	// Result is the verdict, with the outcome when it is known.
	Result struct {
		Verdict Verdict
		Outcome *pb.SubmitReply
		// Groups are further groups that witnesses require; the next claim must name them.
		Groups []*pb.WitnessGroup
	}

	// tally collects the replies of the witnesses to one claim.
	tally struct {
		groups        [][]*pb.Member
		states        map[string]pb.SubmitClaimState
		outcome       *pb.SubmitReply
		missingGroups []*pb.WitnessGroup
	}

	// vote is the reply of one witness; reply is nil when none came.
	vote struct {
		witness string
		reply   *pb.SubmitClaimReply
	}
)

// New returns a Claimer.
func New(c Config) *Claimer {
	return &Claimer{config: c}
}

// Claim sends the claim to the witnesses. To win, it needs a majority of each group that this node knows for the id
// and of each group that the claim names already.
func (c *Claimer) Claim(ctx context.Context, claim *pb.SubmitClaim) Result {
	t := &tally{groups: c.config.Groups.Groups(claim.GetRequestId()), states: map[string]pb.SubmitClaimState{}}
	claim = proto.CloneOf(claim) // an earlier round may still be sending the original
	t.groups = append(t.groups, c.resolve(claim.GetGroups())...)
	claim.Groups = nil
	for _, g := range t.groups {
		claim.Groups = append(claim.Groups, &pb.WitnessGroup{Nodes: grouper.Names(g)})
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	witnesses := t.witnesses()
	votes := make(chan vote, len(witnesses))
	for _, w := range witnesses {
		go func() {
			reply, err := c.config.Peers.Claim(ctx, w, claim)
			if err != nil {
				reply = nil
			}
			votes <- vote{witness: w.GetName(), reply: reply}
		}()
	}
	for range witnesses {
		select {
		case v := <-votes:
			t.add(v)
		case <-ctx.Done():
			return t.result()
		}
		if r := t.result(); r.Verdict == VerdictWon || r.Verdict == VerdictKnown {
			return r
		}
	}
	return t.result()
}

// resolve returns the members of the named groups. It omits a group with a member that this node does not know: the
// claim then does not name that group, and a witness that requires it does not grant the claim.
func (c *Claimer) resolve(named []*pb.WitnessGroup) [][]*pb.Member {
	var groups [][]*pb.Member
	for _, n := range named {
		if members, ok := c.config.Groups.Resolve(n); ok {
			groups = append(groups, members)
		}
	}
	return groups
}

// Settle sends the outcome of the attempt to the witnesses without waiting for replies.
func (c *Claimer) Settle(ctx context.Context, s *pb.SubmitSettle) {
	t := &tally{groups: c.config.Groups.Groups(s.GetRequestId())}
	for _, w := range t.witnesses() {
		go c.config.Peers.Settle(ctx, w, s)
	}
}

// witnesses returns the members of all groups, each once.
func (t *tally) witnesses() []*pb.Member {
	var witnesses []*pb.Member
	seen := map[string]bool{}
	for _, g := range t.groups {
		for _, m := range g {
			if !seen[m.GetName()] {
				seen[m.GetName()] = true
				witnesses = append(witnesses, m)
			}
		}
	}
	return witnesses
}

func (t *tally) add(v vote) {
	if v.reply == nil {
		return
	}
	t.states[v.witness] = v.reply.GetState()
	t.missingGroups = append(t.missingGroups, v.reply.GetGroups()...)
	if v.reply.GetState() == pb.SubmitClaimState_SUBMIT_CLAIM_STATE_SETTLED {
		t.outcome = v.reply.GetOutcome()
	}
}

// result returns the verdict according to the replies received so far.
func (t *tally) result() Result {
	switch {
	case t.outcome != nil:
		return Result{Verdict: VerdictKnown, Outcome: t.outcome}
	case t.anyReplied(pb.SubmitClaimState_SUBMIT_CLAIM_STATE_DUPLICATE):
		return Result{Verdict: VerdictDuplicate}
	case t.won():
		return Result{Verdict: VerdictWon}
	case t.anyReplied(pb.SubmitClaimState_SUBMIT_CLAIM_STATE_HELD):
		return Result{Verdict: VerdictHeld}
	case t.anyReplied(pb.SubmitClaimState_SUBMIT_CLAIM_STATE_LAPSED):
		return Result{Verdict: VerdictLapsed}
	case t.tooOldForMajority():
		return Result{Verdict: VerdictTooOld}
	case t.noOtherMajority():
		return Result{Verdict: VerdictNoQuorum, Groups: t.missingGroups}
	}
	return Result{Verdict: VerdictUncertain, Groups: t.missingGroups}
}

func (t *tally) anyReplied(state pb.SubmitClaimState) bool {
	for _, s := range t.states {
		if s == state {
			return true
		}
	}
	return false
}

// won reports whether a majority of every group granted the claim.
func (t *tally) won() bool {
	for _, g := range t.groups {
		if t.countState(g, pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED) <= len(g)/2 {
			return false
		}
	}
	return len(t.groups) > 0
}

// noOtherMajority reports whether at least half of the witnesses of every group granted the claim, so that no other
// attempt can have had a majority of any group.
func (t *tally) noOtherMajority() bool {
	for _, g := range t.groups {
		if 2*t.countState(g, pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED) < len(g) {
			return false
		}
	}
	return len(t.groups) > 0
}

// tooOldForMajority reports whether the id is too old for so many witnesses of a group that no majority can grant it.
func (t *tally) tooOldForMajority() bool {
	for _, g := range t.groups {
		if 2*t.countState(g, pb.SubmitClaimState_SUBMIT_CLAIM_STATE_TOO_OLD) >= len(g) {
			return true
		}
	}
	return false
}

func (t *tally) countState(group []*pb.Member, state pb.SubmitClaimState) int {
	n := 0
	for _, m := range group {
		if t.states[m.GetName()] == state {
			n++
		}
	}
	return n
}

// String returns the name of the verdict in the metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictWon:
		return "won"
	case VerdictKnown:
		return "known"
	case VerdictHeld:
		return "held"
	case VerdictLapsed:
		return "lapsed"
	case VerdictDuplicate:
		return "duplicate"
	case VerdictNoQuorum:
		return "short"
	case VerdictTooOld:
		return "too_old"
	default:
		return "uncertain"
	}
}
