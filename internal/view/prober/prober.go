// Package prober keeps the view of live nodes. In each period it sends the probes that the detector
// chooses, directly and, without an answer, through other nodes; messages carry rumours both ways. The
// list of live members flows out. The decisions are the detector's; this package has the clock, the
// goroutines and the messages.
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
	// relayCount is how many nodes are asked to probe a member that does not answer.
	relayCount = 3
	// announceCount members hear at once that this node leaves, in up to announceRounds attempts.
	announceCount  = 32
	announceRounds = 3
	// maxRounds bounds the probes in flight.
	maxRounds = 32
	// pauseFactor times the probe period is a gap between ticks that only a paused process has.
	pauseFactor = 4
	// roundFactor times the probe timeout is the longest that a probe with its relays takes.
	roundFactor = 4
)

type (
	// Messenger carries probes.
	Messenger interface {
		Call(ctx context.Context, address string, plane messenger.Plane, frame *pb.Frame) (*pb.Frame, error)
	}

	// Config holds what a Prober needs.
	Config struct {
		// Self describes this node at its start.
		Self      *pb.Member
		Messenger Messenger
		Clock     quartz.Clock
		Logger    *slog.Logger
		Asserter  *asserter.Asserter
		// Metrics takes the view's metrics; nil means none.
		Metrics *metrics.Set
		Random  *rand.Rand
		// ProbePeriod is the time between two probes.
		ProbePeriod time.Duration
		// ProbeTimeout bounds one direct probe; a probe through others may take twice as long.
		ProbeTimeout time.Duration
		// SuspicionPeriod is how long a node that does not answer stays in the view of a small fleet.
		SuspicionPeriod time.Duration
		// SeedPeers are peer addresses known from the settings.
		SeedPeers []string
		// Targets returns which of the members are probed; nil means all of them.
		Targets func(names []string) []string
		// Load returns the requests in progress on this node.
		Load func() uint32
		// Dead is told the peer address of each node that was declared dead; nil means nobody is.
		Dead func(address string)
	}

	// Prober is the view of live nodes. It is safe for concurrent use.
	Prober struct {
		config Config
		// rounds has one token for each probe in flight.
		rounds chan struct{}
		mutex  sync.Mutex
		// detector is guarded by mutex.
		detector *detector.Detector
		// logged is the generation that was logged last.
		logged uint64
	}
)

// New returns a Prober that knows only this node.
func New(c Config) *Prober {
	p := &Prober{config: c, rounds: make(chan struct{}, maxRounds), logged: 1}
	p.detector = detector.New(detector.Config{
		Self: c.Self, SuspicionPeriod: c.SuspicionPeriod, Seeds: c.SeedPeers, Targets: c.Targets, Random: c.Random,
		Asserter: c.Asserter,
	})
	p.register()
	return p
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := p.config.Clock.NewTicker(p.config.ProbePeriod)
	defer ticker.Stop()
	last := p.config.Clock.Now()
	for {
		now := p.config.Clock.Now()
		if pause := now.Sub(last); pause > pauseFactor*p.config.ProbePeriod {
			p.resume(now, pause)
		}
		last = now
		p.startRounds(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Members returns the nodes that may be given work, this one included unless it is leaving. Suspected
// members are among them. The slice must not be changed.
func (p *Prober) Members() []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Members()
}

// Lost returns the members that fell silent of late without having left.
func (p *Prober) Lost() []*pb.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Lost()
}

// Generation changes whenever a member comes, goes or moves.
func (p *Prober) Generation() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Generation()
}

// Joined tells whether any other node is known to be live.
func (p *Prober) Joined() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Joined()
}

// Address returns the peer address of the named node, or an empty string.
func (p *Prober) Address(name string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.detector.Address(name)
}

// AddCandidates takes peer addresses at which nodes may run.
func (p *Prober) AddCandidates(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, a := range addresses {
		p.detector.AddCandidate(a)
	}
}

// Leave tells the others that this node takes no new leaves and no new callers.
func (p *Prober) Leave() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.Leave()
	p.logLocked()
}

// Announce tells up to announceCount members at once what this node says of itself, and again those that
// did not answer; rumours take it to the others.
func (p *Prober) Announce(ctx context.Context) {
	p.mutex.Lock()
	addresses := p.detector.Relays("", announceCount)
	p.mutex.Unlock()
	for range announceRounds {
		addresses = p.announceTo(ctx, addresses)
	}
}

// announceTo returns the addresses that did not answer.
func (p *Prober) announceTo(ctx context.Context, addresses []string) []string {
	silent := make(chan string, len(addresses))
	var probes sync.WaitGroup
	for _, a := range addresses {
		probes.Go(func() {
			if _, err := p.probe(ctx, a); err != nil {
				silent <- a
			}
		})
	}
	probes.Wait()
	close(silent)
	var missing []string
	for a := range silent {
		missing = append(missing, a)
	}
	return missing
}

// HandleProbe takes what the sender says and answers with rumours, or with everything for a new node.
func (p *Prober) HandleProbe(m *pb.Probe) *pb.ProbeReply {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.Learn(p.config.Clock.Now(), m.GetRumours())
	p.detector.ObserveDigest(m.GetViewDigest())
	reply := &pb.ProbeReply{Reached: true, ViewDigest: p.detector.Digest()}
	if m.GetEverything() {
		reply.Rumours = p.detector.Everything()
	} else {
		reply.Rumours = p.detector.Rumours(senderAddress(m.GetRumours()))
	}
	return reply
}

// HandleIndirect probes the target on behalf of another node and passes on what it says.
func (p *Prober) HandleIndirect(ctx context.Context, m *pb.IndirectProbe) *pb.ProbeReply {
	p.mutex.Lock()
	p.detector.Learn(p.config.Clock.Now(), m.GetRumours())
	p.mutex.Unlock()
	reply, err := p.probe(ctx, m.GetTarget())
	if err != nil {
		return &pb.ProbeReply{}
	}
	return &pb.ProbeReply{Reached: true, Rumours: reply.GetRumours()}
}

func (p *Prober) resume(now time.Time, pause time.Duration) {
	p.config.Logger.Warn("process was paused", "pause", pause)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.Resume(now)
}

func (p *Prober) startRounds(ctx context.Context, now time.Time) {
	p.mutex.Lock()
	p.detector.SetLoad(p.config.Load())
	dead := p.detector.Expire(now)
	targets := p.detector.Next(now)
	p.logLocked()
	p.mutex.Unlock()
	for _, a := range dead {
		p.config.Logger.Warn("node declared dead", "peer_address", a)
		if p.config.Dead != nil {
			p.config.Dead(a)
		}
	}
	for _, t := range targets {
		select {
		case p.rounds <- struct{}{}:
			go p.round(ctx, t, now)
		default:
		}
	}
}

// round probes one target, directly first and through others then.
func (p *Prober) round(ctx context.Context, t detector.Target, startedAt time.Time) {
	defer func() { <-p.rounds }()
	if _, err := p.probe(ctx, t.Address); err == nil || t.Name == "" {
		return
	}
	if p.probeThroughOthers(ctx, t) || ctx.Err() != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.config.Clock.Now()
	if now.Sub(startedAt) > roundFactor*p.config.ProbeTimeout {
		return // this process was paused meanwhile; the silence says nothing of the target
	}
	p.detector.Failed(now, t)
}

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
	p.learn(reply.GetRumours())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.ObserveDigest(reply.GetViewDigest())
	return reply, nil
}

// probeThroughOthers tells whether the target answered any of the relays.
func (p *Prober) probeThroughOthers(ctx context.Context, t detector.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*p.config.ProbeTimeout)
	defer cancel()
	p.mutex.Lock()
	relays := p.detector.Relays(t.Address, relayCount)
	p.mutex.Unlock()
	answers := make(chan bool, len(relays))
	for _, a := range relays {
		go func() { answers <- p.askRelay(ctx, a, t.Address) }()
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

func (p *Prober) askRelay(ctx context.Context, relay, target string) bool {
	p.mutex.Lock()
	m := &pb.IndirectProbe{Target: target, Rumours: p.detector.Rumours(relay)}
	p.mutex.Unlock()
	frame, err := p.config.Messenger.Call(ctx, relay, messenger.PlaneControl,
		&pb.Frame{Body: &pb.Frame_IndirectProbe{IndirectProbe: m}})
	if err != nil || !frame.GetProbeReply().GetReached() {
		return false
	}
	p.learn(frame.GetProbeReply().GetRumours())
	return true
}

func (p *Prober) learn(rumours []*pb.Member) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.detector.Learn(p.config.Clock.Now(), rumours)
}

func (p *Prober) logLocked() {
	if g := p.detector.Generation(); g != p.logged {
		p.logged = g
		p.config.Logger.Info("view changed", "generation", g, "members", len(p.detector.Members()))
	}
}

func (p *Prober) register() {
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
	gauge("magnoliastep_view_pauses_total", func() float64 { return float64(p.detector.Counters().Resumptions) })
}

func senderAddress(rumours []*pb.Member) string {
	if len(rumours) == 0 {
		return ""
	}
	return rumours[0].GetPeerAddress()
}
