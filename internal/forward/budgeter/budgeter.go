// Package budgeter limits this node's second sends (hedges and retries) to one service, so that those of all nodes
// together stay within a share of the service's requests plus a fixed slack in any time window.
//
// The budget is a token bucket. In any window, a node makes at most as many second sends as the depth of its bucket
// plus the share of the requests that arrived in the window. The depths of all nodes add up to a part of the slack,
// so the total limit holds without messages between nodes. A bucket starts empty, so that a node does not gain
// tokens by repeated restarts.
package budgeter

import "sync"

const (
	// shareMargin allows for requests that are counted here but never reach the service.
	shareMargin = 0.85
	// slackMargin allows for nodes that disagree on the number of nodes while the fleet changes.
	slackMargin = 0.7
	// hedgeReserve is the share of the bucket's depth that hedges leave for retries.
	hedgeReserve = 0.25
	// minDepth lets a node make a second send even if the slack is divided among many nodes.
	minDepth = 1.2
)

type (
	// Config holds what a Budgeter needs.
	Config struct {
		// Share is the allowed ratio of the second sends of all nodes to requests, 0 to 1.
		Share float64
		// Slack is the number of second sends that all nodes together may make in a window beyond the share.
		Slack float64
	}

	// Budgeter is one node's budget for one service. It is safe for concurrent use.
	Budgeter struct {
		// config returns the current limits.
		config func() Config
		mutex  sync.Mutex
		// tokens is at least 0 and at most the depth for the current number of nodes.
		tokens float64
		nodes  int
	}
)

// New returns an empty Budgeter. config returns the current limits.
func New(config func() Config) *Budgeter {
	return &Budgeter{config: config, nodes: 1}
}

// Earn adds the share of one request to the bucket. nodes is the number of nodes that share the budget.
func (b *Budgeter) Earn(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(1, nodes)
	b.tokens = min(b.tokens+b.config().Share*shareMargin, b.depth())
}

// TakeHedge takes a token for a hedge: a second send of a request that has not failed. It returns false if the budget
// does not allow it.
func (b *Budgeter) TakeHedge() bool {
	return b.take(hedgeReserve)
}

// TakeRetry takes a token for the retry of a failed request. It returns false if the budget does not allow it.
func (b *Budgeter) TakeRetry() bool {
	return b.take(0)
}

// Refund puts back a token that was not used.
func (b *Budgeter) Refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+1, b.depth())
}

// Tokens returns the number of tokens in the bucket.
func (b *Budgeter) Tokens() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens
}

// take takes one token if at least reserve, a share of the depth, remains in the bucket. A full bucket always allows
// it.
func (b *Budgeter) take(reserve float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if depth := b.depth(); b.tokens < min(1+reserve*depth, depth) {
		return false
	}
	b.tokens--
	return true
}

// depth returns the capacity of the bucket.
func (b *Budgeter) depth() float64 {
	return max(minDepth, b.config().Slack*slackMargin/float64(b.nodes))
}
