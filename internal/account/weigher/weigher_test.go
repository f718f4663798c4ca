package weigher_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/account/weigher"
)

// Accounts that use the same part of what they are owed must weigh the same, however large they are; otherwise large
// accounts, or small ones, would be last in every queue.
func TestAccountsAtEqualPartsOfTheirShareWeighTheSame(t *testing.T) {
	is := is.New(t)
	w := weigher.New()
	now := time.Unix(0, 0)
	for step := range 2000 { // 20 seconds
		now = now.Add(10 * time.Millisecond)
		w.Account("large", 100, now).Charge(time.Millisecond, now)
		if step%10 == 0 {
			w.Account("small", 10, now).Charge(time.Millisecond, now)
		}
	}
	large, small := w.Account("large", 100, now).Use(now), w.Account("small", 10, now).Use(now)
	is.True(math.Abs(large-small) < 0.1*large)
}

// An account that has calmed down must not be held back for long, and must not be kept for ever.
func TestUseFadesAndIsForgotten(t *testing.T) {
	is := is.New(t)
	w := weigher.New()
	now := time.Unix(0, 0)
	for i := range 1000 {
		w.Account(fmt.Sprintf("account-%d", i), 1, now).Charge(time.Second, now)
	}
	is.Equal(w.Accounts(), 1000)
	now = now.Add(time.Minute)
	is.True(w.Account("account-1", 1, now).Use(now) < 0.001)
	is.Equal(w.Accounts(), 1)
}

// A share that a configuration states wrongly must not give an account an advantage without bound, nor a use that can't
// be compared.
func TestUnusableSharesCountAsOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	for _, share := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		a := weigher.New().Account("a", share, now)
		is.Equal(a.Use(now), 0.0)
		a.Charge(time.Second, now)
		a.Charge(-time.Second, now)
		is.Equal(a.Use(now), 1.0)
	}
}
