package forwarder

import (
	"crypto/rand"
	"strconv"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/account/labeler"
	"github.com/magnoliastep/magnoliastep/internal/account/weigher"
	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
	"github.com/magnoliastep/magnoliastep/internal/forward/pruner"
)

// keySecretBytes is the length of the key of the digests of account keys.
const keySecretBytes = 32

// unusableValuesName is the counter of values of configurations that could not be used.
const unusableValuesName = "stepfront_config_unusable_values_total"

// newKeySecret returns a random key for the digests of account keys.
func newKeySecret() []byte {
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(secret) // never fails
	return secret
}

// accountUse returns the use of the leaves by a client account, which is owed a share.
func (n *Node) accountUse(account string, share float64) gatherer.Use {
	return n.weigher.Account(account, share, time.Now())
}

// assembleAccounts prepares the metrics of client accounts.
func (n *Node) assembleAccounts() {
	n.keySecret, n.weigher = newKeySecret(), weigher.New()
	n.accountLabels = labeler.New(labeler.Config{OnDrop: func(account string) {
		pruner.New(pruner.Config{Metrics: n.config.Metrics}).Prune("account", []string{account}, nil)
	}})
	n.config.Metrics.GetOrCreateCounter(unusableValuesName)
	n.config.Metrics.GetOrCreateCounter(accountRequestsName(labeler.Others, "answered"))
	n.config.Metrics.GetOrCreateHistogram(accountSecondsName(labeler.Others))
}

// observeAccount records the outcome of a request of an account and its duration.
func (n *Node) observeAccount(account, outcome string, took time.Duration) {
	label := n.accountLabels.Label(account, n.config.Clock.Now())
	n.config.Metrics.GetOrCreateCounter(accountRequestsName(label, outcome)).Inc()
	n.config.Metrics.GetOrCreateHistogram(accountSecondsName(label)).Update(took.Seconds())
}

// pruneAccounts unregisters the metrics of accounts that the configuration does not have any more.
func (n *Node) pruneAccounts(m *matcher.Matcher) {
	exists := map[string]bool{}
	for _, a := range m.Accounts() {
		exists[a.Name] = true
	}
	n.accountLabels.Drop(func(account string) bool { return exists[account] })
}

func accountRequestsName(label, outcome string) string {
	return `stepfront_account_requests_total{account=` + strconv.Quote(label) + `,outcome="` + outcome + `"}`
}

func accountSecondsName(label string) string {
	return `stepfront_account_request_seconds{account=` + strconv.Quote(label) + `}`
}
