// Package prober keeps a node's view of the live nodes up to date by probing other nodes. In each period it probes the
// targets that the detector chooses, directly first and through other nodes if there is no answer. Probes and replies
// also carry rumours. The detector makes all decisions; this package provides the clock, goroutines and messages.
package prober

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/quartz"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/invariant/asserter"
	"github.com/magnoliastep/magnoliastep/internal/peer/messenger"
	"github.com/magnoliastep/magnoliastep/internal/view/detector"
)

const (
	// relayCount is the number of nodes that are asked to probe a member that does not answer.
	relayCount = 3
	// announceCount is the number of members that a leaving node notifies at once, in up to announceAttempts attempts.
	announceCount    = 32
	announceAttempts = 3
	// maxProbesInFlight bounds the targets that are probed at the same time.
	maxProbesInFlight = 32
	// pauseFactor times the probe period is the gap between ticks above which the process must have been paused.
	pauseFactor = 4
	// maxProbeFactor times the probe timeout is the longest that a direct probe and the indirect probes after it take.
	maxProbeFactor = 4
)

type (
	// Messenger sends a frame to a node and returns its reply.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Config holds the settings and dependencies of a Prober.
	Config struct {
		// Self describes this node at its start.
		Self      *pb.Member
		Messenger Messenger
		Clock     quartz.Clock
		Logger    *slog.Logger
		Asserter  *asserter.Asserter
		// Metrics is the set in which the view's metrics are registered; nil means none.
		Metrics *metrics.Set
		Random  *rand.Rand
		// ProbePeriod is the time from the start of one probe period to the next.
		ProbePeriod time.Duration
		// ProbeTimeout bounds a direct probe; an indirect probe may take twice as long.
		ProbeTimeout time.Duration
		// SuspicionPeriod is how long a suspect stays in the view before it is declared dead.
		SuspicionPeriod time.Duration
		// SeedPeers are the peer addresses from the settings.
		SeedPeers []string
		// FilterTargets returns those of the named members that are to be probed; nil means all. It may modify the slice.
		FilterTargets func(names []string) []string
		// Load returns the requests in progress on this node.
		Load func() uint32
		// Helpers returns the number of further serving nodes that this node asks for; nil means none.
		Helpers func() uint32
		// OnDeath is called with the peer address of each node that this node declares dead; nil means no call.
		OnDeath func(address string)
		// Isolate calls a function that handles replies of other nodes, and returns an error if that panics; nil means that
		// panics are not handled.
		Isolate func(f func()) error
	}

	// Prober keeps the view of live nodes. It is safe for concurrent use.
	Prober struct {
		config Config
		// inFlight holds one token for each target that is being probed.
		inFlight chan struct{}
		mutex    sync.Mutex
		// detector is guarded by mutex.
		detector *detector.Detector
		// loggedGeneration is the generation of the view that was logged last.
		loggedGeneration uint64
	}
)

// New returns a Prober that knows only this node.
func New(c Config) *Prober {
	if c.Isolate == nil {
		c.Isolate = callDirectly
	}
	p := &Prober{config: c, inFlight: make(chan struct{}, maxProbesInFlight), loggedGeneration: 1}
	p.detector = detector.New(detector.Config{
		Self: c.Self, SuspicionPeriod: c.SuspicionPeriod, ProbePeriod: c.ProbePeriod,
		Seeds: c.SeedPeers, FilterTargets: c.FilterTargets, Random: c.Random,
		Asserter: c.Asserter,
	})
	p.registerMetrics()
	return p
}

// Run starts the probes of each period until the context ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := p.config.Clock.NewTicker(p.config.ProbePeriod)
	defer ticker.Stop()
	last := p.config.Clock.Now()
	for {
		now := p.config.Clock.Now()
		if pause := now.Sub(last); pause > pauseFactor*p.config.ProbePeriod {
			p.handlePause(now, pause)
		}
		last = now
		p.startProbes(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Members returns the nodes that may be given work, suspects included, and this node unless it is leaving. If all
// nodes are leaving, it returns those. The caller must not modify the slice.
func (p *Prober) Members() []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Members()
}

// Lost returns the members that were declared dead recently without having left: they have failed or are behind a
// network partition.
func (p *Prober) Lost() []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Lost()
}

// Generation returns a number that grows whenever a member joins, leaves, is declared dead, restarts, moves to another
// address or no longer counts as lost.
func (p *Prober) Generation() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Generation()
}

// Joined tells whether this node knows any other live node, suspects included.
func (p *Prober) Joined() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Joined()
}

// Address returns the peer address of the named node, dead or alive, or an empty string if it is unknown.
func (p *Prober) Address(name string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Address(name)
}

// AddCandidates adds peer addresses where nodes may run.
func (p *Prober) AddCandidates(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, a := range addresses {
		p.detector.AddCandidate(a)
	}
}

// Leave marks this node as leaving, which tells the others that it accepts no new leaves and no new callers.
func (p *Prober) Leave() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.Leave()
	p.logViewChangeLocked()
}

// Announce sends this node's claim about itself to up to announceCount members at once and retries those that do not
// answer. The other members learn of it from rumours.
func (p *Prober) Announce(ctx context.Context) {
	p.mutex.Lock()
	addresses := p.detector.Relays("", announceCount)
	p.mutex.Unlock()
	for range announceAttempts {
		addresses = p.announceTo(ctx, addresses)
	}
}

// announceTo probes the addresses once and returns those that did not answer.
func (p *Prober) announceTo(ctx context.Context, addresses []string) []string {
	unanswered := make(chan string, len(addresses))
	var probes sync.WaitGroup
	for _, a := range addresses {
		probes.Go(func() {
			answered := false
			_ = p.config.Isolate(func() {
				_, err := p.probe(ctx, a)
				answered = err == nil
			})
			if !answered {
				unanswered <- a
			}
		})
	}
	probes.Wait()
	close(unanswered)
	var failed []string
	for a := range unanswered {
		failed = append(failed, a)
	}
	return failed
}

// HandleProbe merges the rumours of a probe and replies with rumours, or with all members if the sender requests them.
func (p *Prober) HandleProbe(m *pb.Probe) *pb.ProbeReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.MergeRumours(p.config.Clock.Now(), m.GetRumours())
	p.detector.ObserveDigest(m.GetViewDigest())
	reply := &pb.ProbeReply{Reached: true, ViewDigest: p.detector.Digest()}
	if m.GetEverything() {
		reply.Rumours = p.detector.Everything()
	} else {
		reply.Rumours = p.detector.Rumours(senderAddress(m.GetRumours()))
	}
	return reply
}

// HandleIndirectProbe probes the target on behalf of another node and returns the rumours of the target's reply.
func (p *Prober) HandleIndirectProbe(ctx context.Context, m *pb.IndirectProbe) *pb.ProbeReply {
	p.mutex.Lock()
	p.detector.MergeRumours(p.config.Clock.Now(), m.GetRumours())
	p.mutex.Unlock()
	reply, err := p.probe(ctx, m.GetTarget())
	if err != nil {
		return &pb.ProbeReply{}
	}
	return &pb.ProbeReply{Reached: true, Rumours: reply.GetRumours()}
}

func (p *Prober) handlePause(now time.Time, pause time.Duration) {
	p.config.Logger.Warn("process was paused", "pause", pause)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.HandlePause(now)
}

func (p *Prober) startProbes(ctx context.Context, now time.Time) {
	p.mutex.Lock()
	p.detector.SetLoad(p.config.Load())
	if p.config.Helpers != nil {
		p.detector.SetHelpers(p.config.Helpers())
	}
	dead := p.detector.Expire(now)
	targets := p.detector.NextTargets(now)
	p.logViewChangeLocked()
	p.mutex.Unlock()
	for _, a := range dead {
		p.config.Logger.Warn("node declared dead", "peer_address", a)
		if p.config.OnDeath != nil {
			p.config.OnDeath(a)
		}
	}
	for _, t := range targets {
		select {
		case p.inFlight <- struct{}{}:
			go func() { _ = p.config.Isolate(func() { p.probeTarget(ctx, t, now) }) }()
		default:
		}
	}
}

// probeTarget probes one target, directly first and then through other nodes, and reports a failure to the detector. A
// target whose node is not known is probed only directly, and its failure has no consequence.
func (p *Prober) probeTarget(ctx context.Context, t detector.Target, startedAt time.Time) {
	defer func() { <-p.inFlight }()
	if _, err := p.probe(ctx, t.Address); err == nil || t.Name == "" {
		return
	}
	if p.probeIndirectly(ctx, t) || ctx.Err() != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.config.Clock.Now()
	if now.Sub(startedAt) > maxProbeFactor*p.config.ProbeTimeout {
		return // this process was paused in between, so the missing answers say nothing about the target
	}
	p.detector.HandleProbeFailure(now, t)
}

// probe sends a direct probe to the address and merges the rumours of the reply.
func (p *Prober) probe(ctx context.Context, address string) (*pb.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ProbeTimeout)
	defer cancel()
	p.mutex.Lock()
	m := &pb.Probe{
		Rumours:    p.detector.Rumours(address),
		Everything: p.detector.WantsEverything(p.config.Clock.Now()),
		ViewDigest: p.detector.Digest(),
	}
	p.mutex.Unlock()
	frame, err := p.config.Messenger.Call(ctx, address, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_Probe{Probe: m}})
	if err != nil {
		return nil, err
	}
	reply := frame.GetProbeReply()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if m.GetEverything() {
		p.detector.MergeEverything(p.config.Clock.Now(), reply.GetRumours())
	} else {
		p.detector.MergeRumours(p.config.Clock.Now(), reply.GetRumours())
	}
	p.detector.ObserveDigest(reply.GetViewDigest())
	return reply, nil
}

// probeIndirectly asks up to relayCount other nodes to probe the target and tells whether it answered any of them.
func (p *Prober) probeIndirectly(ctx context.Context, t detector.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*p.config.ProbeTimeout)
	defer cancel()
	p.mutex.Lock()
	relays := p.detector.Relays(t.Address, relayCount)
	p.mutex.Unlock()
	answers := make(chan bool, len(relays))
	for _, a := range relays {
		go func() {
			answered := false
			_ = p.config.Isolate(func() { answered = p.requestIndirectProbe(ctx, a, t.Address) })
			answers <- answered
		}()
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

func (p *Prober) requestIndirectProbe(ctx context.Context, relay, target string) bool {
	p.mutex.Lock()
	m := &pb.IndirectProbe{Target: target, Rumours: p.detector.Rumours(relay)}
	p.mutex.Unlock()
	frame, err := p.config.Messenger.Call(ctx, relay, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_IndirectProbe{IndirectProbe: m}})
	if err != nil || !frame.GetProbeReply().GetReached() {
		return false
	}
	p.mergeRumours(frame.GetProbeReply().GetRumours())
	return true
}

func (p *Prober) mergeRumours(rumours []*pb.Member) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.MergeRumours(p.config.Clock.Now(), rumours)
}

func (p *Prober) logViewChangeLocked() {
	if g := p.detector.Generation(); g != p.loggedGeneration {
		p.loggedGeneration = g
		p.config.Logger.Info("view changed", "generation", g, "members", len(p.detector.Members()))
	}
}

func (p *Prober) registerMetrics() {
	if p.config.Metrics == nil {
		return
	}
	gauge := func(name string, read func() float64) {
		p.config.Metrics.NewGauge(name, func() float64 {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			return read()
		})
	}
	gauge("magnoliastep_view_members", func() float64 { return float64(len(p.detector.Members())) })
	gauge("magnoliastep_view_generation", func() float64 { return float64(p.detector.Generation()) })
	gauge("magnoliastep_view_suspicions_total", func() float64 { return float64(p.detector.Counters().Suspicions) })
	gauge("magnoliastep_view_deaths_total", func() float64 { return float64(p.detector.Counters().Deaths) })
	gauge("magnoliastep_view_refutations_total", func() float64 { return float64(p.detector.Counters().Refutations) })
	gauge("magnoliastep_view_pauses_total", func() float64 { return float64(p.detector.Counters().Pauses) })
}

func senderAddress(rumours []*pb.Member) string {
	if len(rumours) == 0 {
		return ""
	}
	return rumours[0].GetPeerAddress()
}

func callDirectly(f func()) error {
	f()
	return nil
}
