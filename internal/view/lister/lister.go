// Package lister reads the platform's list of VMs, which lags behind the actual state, for the addresses at which
// nodes may run and for the set of VMs that are leaving. A list that cannot be read, or is empty, leaves all that is
// known unchanged.
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
	stateLeaving  = "leaving"
	readTimeout   = 2 * time.Second
	maxRetryDelay = 30 * time.Second
	inactiveDelay = 250 * time.Millisecond
	maxStartDelay = 500 * time.Millisecond
)

type (
	// VMLister reads the platform's list of VMs.
	VMLister interface {
		VMs(ctx context.Context) ([]client.VM, error)
	}

	// Config holds the settings and dependencies of a Lister.
	Config struct {
		VMs    VMLister
		Clock  quartz.Clock
		Logger *slog.Logger
		Random *rand.Rand
		// Period is the mean time between two reads while they succeed.
		Period time.Duration
		// PeerPort is the port at which all nodes serve their peers.
		PeerPort string
		// Active reports whether this node is to read the list now; other nodes receive the set from those that read it.
		Active func() bool
		// OnAddresses is called with the peer addresses of all listed VMs.
		OnAddresses func(addresses []string)
	}

	// Lister keeps the set of VMs that are leaving. It is safe for concurrent use.
	Lister struct {
		config Config
		mutex  sync.Mutex
		// leaving is the newest known set, by IP address; it is replaced, never modified.
		leaving map[string]bool
		// readAt is when leaving was read from the platform, here or on another node; it only grows.
		readAt int64
		digest uint64
	}
)

// New returns a Lister with an empty set.
func New(c Config) *Lister {
	return &Lister{config: c, leaving: map[string]bool{}}
}

// Run reads the list periodically until the context ends. Failed reads are retried with exponential backoff.
func (l *Lister) Run(ctx context.Context) {
	delay := l.config.Period
	sleeper.Sleep(ctx, l.config.Clock, time.Duration(l.config.Random.Int64N(int64(maxStartDelay))))
	for ctx.Err() == nil {
		if !l.config.Active() {
			sleeper.Sleep(ctx, l.config.Clock, inactiveDelay)
			continue
		}
		if err := l.read(ctx); err != nil {
			delay = min(2*delay, maxRetryDelay)
			l.config.Logger.Warn("VM list not read", "error", err.Error(), "pause", delay)
		} else {
			delay = l.config.Period
		}
		sleeper.Sleep(ctx, l.config.Clock, delay/2+time.Duration(l.config.Random.Int64N(int64(delay))))
	}
}

// LeavingVM reports whether the VM with the IP address is leaving.
func (l *Lister) LeavingVM(ip string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.leaving[ip]
}

// Digest returns a hash of the set of leaving VMs, or 0 when the set is empty.
func (l *Lister) Digest() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.digest
}

// Leaving returns the set of leaving VMs in the form in which other nodes receive it.
func (l *Lister) Leaving() *pb.LeavingVMs {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &pb.LeavingVMs{Ips: sortedKeys(l.leaving), ReadAt: l.readAt}
}

// MergeLeaving replaces the set by one that another node has read, if that one is newer.
func (l *Lister) MergeLeaving(m *pb.LeavingVMs) {
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
	l.config.OnAddresses(addresses)
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
