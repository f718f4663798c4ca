package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/gatherer"
)

// outcomeOverQuota is the outcome of requests that the quota of their account does not allow.
const outcomeOverQuota = "over_quota"

// Quota limits the requests of client accounts on all nodes together.
type Quota interface {
	// Take takes one request from an account's quota. If it is used up, Take returns false and when a request will be
	// granted.
	Take(account string) (granted bool, retryIn time.Duration)
	// Return gives back a request that no leaf has run.
	Return(account string)
}

// takeQuota takes the request from its account's quota. If that is used up, it answers the caller and returns false.
func (x *exchange) takeQuota() bool {
	if x.server.config.Quota == nil || x.identity.account == nil {
		return true
	}
	granted, retryIn := x.server.config.Quota.Take(x.identity.account.Name)
	if granted {
		x.quotaTaken = true
		return true
	}
	x.retryAfter = retryIn
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	x.fail(http.StatusTooManyRequests, outcomeOverQuota, gatherer.Result{})
	return false
}

// returnQuota gives the request back to its account's quota unless a leaf may have run it.
func (x *exchange) returnQuota() {
	if x.quotaTaken && !x.mayHaveRun {
		x.server.config.Quota.Return(x.identity.account.Name)
	}
}
