// Package budgeter bounds the second sends of this node to one service, so that those of all nodes together
// stay within a share of the service's requests plus a fixed slack in any window. Requests flow in, leave to
// send once more flows out.
//
// The budget is a token bucket. In any window its node sends at most the depth of the bucket plus the share
// of the requests that came in the window. The depths of all nodes add up to a part of the slack, so the sum
// holds without any message. A bucket starts empty: a node that restarts again and again never has more.
package budgeter

import "sync"

const (
	// shareMargin leaves room for requests that were counted here and never reached the service.
	shareMargin = 0.85
	// slackMargin leaves room for nodes that count each other differently while the fleet changes.
	slackMargin = 0.7
	// hedgeReserve is the part of the bucket that is kept for requests that failed.
	hedgeReserve = 0.25
	// minDepth lets a node send again at all when the slack is divided among many.
	minDepth = 1.2
)

type (
	// Config holds what a Budgeter needs.
	Config struct {
		// Share of second sends to requests that all nodes may make, 0 to 1.
		Share float64
		// Slack is the number of second sends in a window that all nodes may make beyond the share.
		Slack float64
	}

	// Budgeter is one node's budget for one service. It is safe for concurrent use.
	Budgeter struct {
		// config returns the bound in force.
		config func() Config
		mutex  sync.Mutex
		// tokens is at least 0 and at most the depth for the present number of nodes.
		tokens float64
		nodes  int
	}
)

// New returns an empty Budgeter. config returns the bound in force.
func New(config func() Config) *Budgeter {
	return &Budgeter{config: config, nodes: 1}
}

// Earn takes note of one request, with the number of nodes that share the budget.
func (b *Budgeter) Earn(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(1, nodes)
	b.tokens = min(b.tokens+b.config().Share*shareMargin, b.depth())
}

// TakeHedge takes leave to send a request once more that has not failed.
func (b *Budgeter) TakeHedge() bool {
	return b.take(hedgeReserve)
}

// TakeRetry takes leave to send a request once more that has failed.
func (b *Budgeter) TakeRetry() bool {
	return b.take(0)
}

// Return gives back leave that was not used.
func (b *Budgeter) Return() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+1, b.depth())
}

// Tokens returns how many second sends may be made now.
func (b *Budgeter) Tokens() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens
}

// take takes one token if at least reserve, a part of the bucket, is left besides.
func (b *Budgeter) take(reserve float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if depth := b.depth(); b.tokens < min(1+reserve*depth, depth) {
		return false
	}
	b.tokens--
	return true
}

func (b *Budgeter) depth() float64 {
	return max(minDepth, b.config().Slack*slackMargin/float64(b.nodes))
}
