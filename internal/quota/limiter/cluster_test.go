package limiter_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	pb "github.com/magnoliastep/magnoliastep/internal/gen/magnoliastep/v1"
	"github.com/magnoliastep/magnoliastep/internal/quota/limiter"
)

const (
	step = 50 * time.Millisecond
	// lostAfter is how long after a cut or a kill the other nodes' views say so.
	lostAfter = 2500 * time.Millisecond
	// joinTime is how long after its start a node knows the others.
	joinTime = 300 * time.Millisecond
)

type (
	// cluster runs limiters that exchange reports over links that delay, lose and cut off messages.
	cluster struct {
		random   *rand.Rand
		now      time.Time
		accounts []limiter.Account
		nodes    []*node
		queue    []message
		// serving is the number of nodes, from the first, that callers are told of; 0 if it is all.
		serving int
		// loss is the share of lost messages, delay the longest delay.
		loss  float64
		delay time.Duration
		// cut tells since when no message passes from a node to another; zero if it passes.
		cut      [][]time.Time
		grants   map[string][]time.Time
		messages int
		bytes    int
	}

	node struct {
		name      string
		limiter   *limiter.Limiter
		startedAt time.Time
		// downSince is when the node was killed; zero while it runs.
		downSince time.Time
	}

	message struct {
		from, to int
		at       time.Time
		report   *pb.QuotaReport
	}
)

// bounds returns the bounds within which quotas must hold.
func bounds() limiter.Bounds {
	return limiter.Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}
}

func newCluster(seed uint64, nodes int, accounts []limiter.Account) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), accounts: accounts,
		delay: 30 * time.Millisecond, grants: map[string][]time.Time{},
	}
	for i := range nodes {
		c.nodes = append(c.nodes, &node{name: "n" + strconv.Itoa(i)})
		c.cut = append(c.cut, make([]time.Time, nodes))
		c.start(i)
	}
	return c
}

// start starts a node, which knows nothing of its former process.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	n.limiter = limiter.New(limiter.Config{NodeName: n.name, Process: c.random.Uint32() | 1, Bounds: bounds()})
	n.limiter.SetAccounts(c.accounts, c.now)
	n.startedAt, n.downSince = c.now, time.Time{}
}

func (c *cluster) kill(i int) {
	if c.nodes[i].downSince.IsZero() {
		c.nodes[i].downSince = c.now
	}
}

// setCut cuts the link from one node to another, or restores it.
func (c *cluster) setCut(from, to int, cut bool) {
	switch {
	case !cut:
		c.cut[from][to] = time.Time{}
	case c.cut[from][to].IsZero():
		c.cut[from][to] = c.now
	}
}

func (c *cluster) runs(i int) bool {
	return c.nodes[i].downSince.IsZero()
}

// reachable tells whether a view takes another node for alive: if it runs and messages pass both ways, directly or
// through a third node, or did so lately.
func (c *cluster) reachable(i, j int) bool {
	if since := c.nodes[j].downSince; !since.IsZero() && c.now.Sub(since) > lostAfter {
		return false
	}
	for k := range c.nodes {
		if c.linked(i, k) && c.linked(k, j) {
			return true
		}
	}
	return false
}

// linked tells whether messages pass between two nodes both ways or did so lately.
func (c *cluster) linked(i, j int) bool {
	for _, since := range []time.Time{c.cut[i][j], c.cut[j][i]} {
		if !since.IsZero() && c.now.Sub(since) > lostAfter {
			return false
		}
	}
	return true
}

func (c *cluster) view(i int) limiter.View {
	v := limiter.View{Known: c.now.Sub(c.nodes[i].startedAt) > 3*time.Second, Serving: c.serves(i), Alive: 1}
	if c.now.Sub(c.nodes[i].startedAt) < joinTime {
		return v
	}
	for j, n := range c.nodes {
		switch {
		case j == i:
		case c.reachable(i, j) && c.serves(j):
			v.Peers = append(v.Peers, n.name)
			v.Alive++
		case c.reachable(i, j):
			v.Alive++
		default:
			v.Lost++
		}
	}
	return v
}

func (c *cluster) serves(i int) bool { return c.serving == 0 || i < c.serving }

// ask sends a request of an account to a node and tells whether it was granted, or when one will be.
func (c *cluster) ask(i int, account string) (bool, time.Duration) {
	if !c.runs(i) {
		return false, 0
	}
	ok, retryIn := c.nodes[i].limiter.Take(account, c.now)
	if ok {
		c.grants[account] = append(c.grants[account], c.now)
	}
	return ok, retryIn
}

// advance lets one step pass in which reports are sent and delivered.
func (c *cluster) advance() {
	c.now = c.now.Add(step)
	for i, n := range c.nodes {
		if !c.runs(i) {
			continue
		}
		n.limiter.SetView(c.view(i), c.now)
		for _, r := range n.limiter.Reports(c.now) {
			c.send(i, index(r.To), r.Message)
		}
	}
	var confirmations []message
	kept := c.queue[:0]
	for _, m := range c.queue {
		switch {
		case m.at.After(c.now):
			kept = append(kept, m)
		case c.runs(m.to):
			l := c.nodes[m.to].limiter
			l.Receive(c.nodes[m.from].name, m.report, c.now)
			for _, r := range l.Confirmations(c.now) {
				confirmations = append(confirmations, message{from: m.to, report: r.Message, to: index(r.To)})
			}
		}
	}
	c.queue = kept
	for _, m := range confirmations {
		c.send(m.from, m.to, m.report)
	}
}

// index returns the index of a node by its name.
func index(name string) int {
	i, _ := strconv.Atoi(name[1:])
	return i
}

func (c *cluster) send(from, to int, report *pb.QuotaReport) {
	c.messages++
	c.bytes += size(report)
	if !c.cut[from][to].IsZero() || c.random.Float64() < c.loss {
		return
	}
	at := c.now.Add(time.Duration(c.random.Float64() * float64(c.delay)))
	c.queue = append(c.queue, message{from: from, to: to, at: at, report: report})
}

// most returns the largest number of grants of an account in a window.
func (c *cluster) most(account string) int {
	times, most, first := c.grants[account], 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= bounds().Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// allowed returns how many grants a window may have.
func allowed(a limiter.Account) float64 {
	return (a.Rate*bounds().Window.Seconds()+a.Burst)*(1+bounds().Over) + bounds().Slack
}
