package budgeter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/budgeter"
)

func takeAllTokens(b *budgeter.Budgeter) int {
	taken := 0
	for b.Take() {
		taken++
	}
	return taken
}

// TestFirstCallsEarnBudgetUpToLimit guards against unused tokens that accumulate and allow a burst of extra calls.
func TestFirstCallsEarnBudgetUpToLimit(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(budgeter.Config{Clock: quartz.NewReal()})
	atStart := takeAllTokens(b)
	b.Earn(1000, 0.05)
	is.Equal(takeAllTokens(b), 50)
	b.Earn(1000000, 0.05)
	is.True(takeAllTokens(b) <= 100) // unused tokens are capped
	is.Equal(atStart, 5)
}

// TestExtraCallsBlockedDuringOverload guards against retries that add load while a quarter of the replies report
// overload, and against extra calls that stay blocked afterwards.
func TestExtraCallsBlockedDuringOverload(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		b := budgeter.New(budgeter.Config{Clock: quartz.NewReal()})
		b.Earn(1000, 0.05)
		for i := range 100 {
			b.ObserveReply(i%4 == 0)
		}
		is.True(b.Overloaded())
		is.True(!b.Take())
		time.Sleep(10 * time.Second)
		is.True(!b.Overloaded())
		is.True(b.Take())
	})
}
