package budgeter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/entry/budgeter"
)

func takeAll(b *budgeter.Budgeter) int {
	taken := 0
	for b.Take() {
		taken++
	}
	return taken
}

func TestBudgetIsEarned(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(budgeter.Config{Clock: quartz.NewReal()})
	atStart := takeAll(b)
	b.Earn(1000, 0.05)
	is.Equal(takeAll(b), 50)
	b.Earn(1000000, 0.05)
	is.True(takeAll(b) <= 100) // what is not used does not pile up
	is.Equal(atStart, 5)
}

func TestOverloadClosesTheBudgetUntilItEnds(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		b := budgeter.New(budgeter.Config{Clock: quartz.NewReal()})
		b.Earn(1000, 0.05)
		for i := range 100 {
			b.Observe(i%4 == 0)
		}
		is.True(b.Closed())
		is.True(!b.Take())
		time.Sleep(10 * time.Second)
		is.True(!b.Closed())
		is.True(b.Take())
	})
}
