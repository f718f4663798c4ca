// Package lister reads the platform's lagging list of VMs. The list flows in; the addresses at which
// nodes may run and the set of leaving VMs flow out. A list that cannot be read, or is empty, changes
// nothing that is known already.
package lister

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"

	"github.com/magnoliastep/magnoliastep/internal/clock/sleeper"
	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/platform/client"
)

const (
	stateLeaving = "leaving"
	readTimeout  = 2 * time.Second
	maxPause     = 30 * time.Second
	idlePause    = 250 * time.Millisecond
	startSpread  = 500 * time.Millisecond
)

type (
	// VMLister reads the platform's list of VMs.
	VMLister interface {
		VMs(ctx context.Context) ([]client.VM, error)
	}

	// Config holds what a Lister needs.
	Config struct {
		VMs    VMLister
		Clock  quartz.Clock
		Logger *slog.Logger
		Random *rand.Rand
		// Period is the time between two readings.
		Period time.Duration
		// PeerPort is the port at which all nodes serve their peers.
		PeerPort string
		// Active tells whether this node is to read the list now; the others are told by those that do.
		Active func() bool
		// Found is told the peer addresses that the list gives.
		Found func(addresses []string)
	}

	// Lister knows which VMs are leaving. It is safe for concurrent use.
	Lister struct {
		config Config
		mutex  sync.Mutex
		// leaving is the newest set known; it is replaced, never changed in place.
		leaving map[string]bool
		// readAt is when leaving was read from the platform, here or on another node; it only grows.
		readAt int64
		digest uint64
	}
)

// New returns a Lister that knows no VM.
func New(c Config) *Lister {
	return &Lister{config: c, leaving: map[string]bool{}}
}

// Run reads the list until the context ends. Failed readings are repeated with growing pauses.
func (l *Lister) Run(ctx context.Context) {
	pause := l.config.Period
	sleeper.Sleep(ctx, l.config.Clock, time.Duration(l.config.Random.Int64N(int64(startSpread))))
	for ctx.Err() == nil {
		if !l.config.Active() {
			sleeper.Sleep(ctx, l.config.Clock, idlePause)
			continue
		}
		if err := l.read(ctx); err != nil {
			pause = min(2*pause, maxPause)
			l.config.Logger.Warn("VM list not read", "error", err.Error(), "pause", pause)
		} else {
			pause = l.config.Period
		}
		sleeper.Sleep(ctx, l.config.Clock, pause/2+time.Duration(l.config.Random.Int64N(int64(pause))))
	}
}

// LeavingVM tells whether the VM with the IP number is about to go.
func (l *Lister) LeavingVM(ip string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.leaving[ip]
}

// Digest identifies the set of leaving VMs.
func (l *Lister) Digest() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.digest
}

// Leaving returns the set for another node.
func (l *Lister) Leaving() *pb.LeavingVMs {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &pb.LeavingVMs{Ips: sortedKeys(l.leaving), ReadAt: l.readAt}
}

// Learn takes a set that another node has read, unless the one at hand is newer.
func (l *Lister) Learn(m *pb.LeavingVMs) {
	if m == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if m.GetReadAt() <= l.readAt {
		return
	}
	l.readAt = m.GetReadAt()
	l.setLocked(m.GetIps())
}

func (l *Lister) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := l.config.VMs.VMs(ctx)
	if err != nil || len(vms) == 0 {
		return err
	}
	var addresses, leaving []string
	for _, v := range vms {
		if v.State == stateLeaving {
			leaving = append(leaving, v.IP)
		}
		addresses = append(addresses, net.JoinHostPort(v.IP, l.config.PeerPort))
	}
	l.config.Found(addresses)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.readAt = max(l.readAt+1, l.config.Clock.Now().UnixNano())
	l.setLocked(leaving)
	return nil
}

func (l *Lister) setLocked(ips []string) {
	set := make(map[string]bool, len(ips))
	for _, ip := range ips {
		set[ip] = true
	}
	l.leaving = set
	l.digest = 0
	if len(set) > 0 {
		l.digest = xxhash.Sum64String(strings.Join(sortedKeys(set), ","))
	}
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
