// Package claimer wins for one attempt the right to run a non-idempotent request. The claim flows to
// the witnesses of the request id side by side; the verdict flows back. An attempt has won when a
// majority of every group of witnesses recorded it; two attempts cannot both have a majority.
package claimer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliastep/magnoliastep/internal/booking/grouper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
)

const (
	// VerdictWon says that this attempt, and no other, may run the request.
	VerdictWon Verdict = iota + 1
	// VerdictKnown says that the outcome is known.
	VerdictKnown
	// VerdictHeld says that another attempt may be running the request.
	VerdictHeld
	// VerdictLapsed says that another attempt may have run the request.
	VerdictLapsed
	// VerdictDuplicate says that the id belongs to another request.
	VerdictDuplicate
	// VerdictShort says that too few witnesses answered, and that no attempt can have run the request.
	VerdictShort
	// VerdictUncertain says that too few witnesses answered to know of earlier attempts.
	VerdictUncertain
	// VerdictTooOld says that too many witnesses are younger than the id.
	VerdictTooOld
)

type (
	// Verdict is what became of a claim.
	Verdict int

	// Peers carries claims to witnesses, this node included.
	Peers interface {
		Claim(ctx context.Context, witness *pb.Member, c *pb.SubmitClaim) (*pb.SubmitClaimReply, error)
		Settle(ctx context.Context, witness *pb.Member, s *pb.SubmitSettle)
	}

	// Groups names the witnesses of an id.
	Groups interface {
		Groups(id string) [][]*pb.Member
		Resolve(group *pb.WitnessGroup) ([]*pb.Member, bool)
	}

	// Config holds what a Claimer needs.
	Config struct {
		Peers  Peers
		Groups Groups
		// Timeout bounds the wait for the witnesses.
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
		// Groups are further ones that witnesses count; they go into the next claim.
		Groups []*pb.WitnessGroup
	}

	// ballot counts what the witnesses said to one claim.
	ballot struct {
		groups  [][]*pb.Member
		states  map[string]pb.SubmitClaimState
		outcome *pb.SubmitReply
		missing []*pb.WitnessGroup
	}

	vote struct {
		witness string
		reply   *pb.SubmitClaimReply
	}
)

// New returns a Claimer.
func New(c Config) *Claimer {
	return &Claimer{config: c}
}

// Claim asks the witnesses for the claim. It needs a majority of the groups that this node counts and
// of those that the claim names already.
func (c *Claimer) Claim(ctx context.Context, claim *pb.SubmitClaim) Result {
	b := &ballot{groups: c.config.Groups.Groups(claim.GetRequestId()), states: map[string]pb.SubmitClaimState{}}
	claim = proto.CloneOf(claim) // an earlier round may still be on its way
	b.groups = append(b.groups, c.resolve(claim.GetGroups())...)
	claim.Groups = nil
	for _, g := range b.groups {
		claim.Groups = append(claim.Groups, &pb.WitnessGroup{Nodes: grouper.Names(g)})
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	witnesses := b.witnesses()
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
			b.count(v)
		case <-ctx.Done():
			return b.result()
		}
		if r := b.result(); r.Verdict == VerdictWon || r.Verdict == VerdictKnown {
			return r
		}
	}
	return b.result()
}

// resolve returns the members of the named groups. A group with a member that is not known here is left
// out: a witness that counts it will not grant the claim.
func (c *Claimer) resolve(named []*pb.WitnessGroup) [][]*pb.Member {
	var groups [][]*pb.Member
	for _, n := range named {
		if members, ok := c.config.Groups.Resolve(n); ok {
			groups = append(groups, members)
		}
	}
	return groups
}

// Settle tells the witnesses how the attempt ended, without waiting for them.
func (c *Claimer) Settle(ctx context.Context, s *pb.SubmitSettle) {
	b := &ballot{groups: c.config.Groups.Groups(s.GetRequestId())}
	for _, w := range b.witnesses() {
		go c.config.Peers.Settle(ctx, w, s)
	}
}

// witnesses returns the members of all groups, each once.
func (b *ballot) witnesses() []*pb.Member {
	var list []*pb.Member
	seen := map[string]bool{}
	for _, g := range b.groups {
		for _, m := range g {
			if !seen[m.GetName()] {
				seen[m.GetName()] = true
				list = append(list, m)
			}
		}
	}
	return list
}

func (b *ballot) count(v vote) {
	if v.reply == nil {
		return
	}
	b.states[v.witness] = v.reply.GetState()
	b.missing = append(b.missing, v.reply.GetGroups()...)
	if v.reply.GetState() == pb.SubmitClaimState_SUBMIT_CLAIM_STATE_SETTLED {
		b.outcome = v.reply.GetOutcome()
	}
}

// result is the verdict by what was counted so far.
func (b *ballot) result() Result {
	switch {
	case b.outcome != nil:
		return Result{Verdict: VerdictKnown, Outcome: b.outcome}
	case b.any(pb.SubmitClaimState_SUBMIT_CLAIM_STATE_DUPLICATE):
		return Result{Verdict: VerdictDuplicate}
	case b.won():
		return Result{Verdict: VerdictWon}
	case b.any(pb.SubmitClaimState_SUBMIT_CLAIM_STATE_HELD):
		return Result{Verdict: VerdictHeld}
	case b.any(pb.SubmitClaimState_SUBMIT_CLAIM_STATE_LAPSED):
		return Result{Verdict: VerdictLapsed}
	case b.tooOld():
		return Result{Verdict: VerdictTooOld}
	case b.nobodyElse():
		return Result{Verdict: VerdictShort, Groups: b.missing}
	}
	return Result{Verdict: VerdictUncertain, Groups: b.missing}
}

func (b *ballot) any(state pb.SubmitClaimState) bool {
	for _, s := range b.states {
		if s == state {
			return true
		}
	}
	return false
}

// won tells whether a majority of every group granted the claim.
func (b *ballot) won() bool {
	for _, g := range b.groups {
		if b.countIn(g, pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED) <= len(g)/2 {
			return false
		}
	}
	return len(b.groups) > 0
}

// nobodyElse tells whether so many witnesses of every group granted the claim that no other attempt had
// a majority anywhere.
func (b *ballot) nobodyElse() bool {
	for _, g := range b.groups {
		if 2*b.countIn(g, pb.SubmitClaimState_SUBMIT_CLAIM_STATE_GRANTED) < len(g) {
			return false
		}
	}
	return len(b.groups) > 0
}

// tooOld tells whether no majority is possible any more because of young witnesses.
func (b *ballot) tooOld() bool {
	for _, g := range b.groups {
		if 2*b.countIn(g, pb.SubmitClaimState_SUBMIT_CLAIM_STATE_TOO_OLD) >= len(g) {
			return true
		}
	}
	return false
}

func (b *ballot) countIn(group []*pb.Member, state pb.SubmitClaimState) int {
	n := 0
	for _, m := range group {
		if b.states[m.GetName()] == state {
			n++
		}
	}
	return n
}

// String returns the verdict's name in the metrics.
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
	case VerdictShort:
		return "short"
	case VerdictTooOld:
		return "too_old"
	default:
		return "uncertain"
	}
}
