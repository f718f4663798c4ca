package labeler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/account/labeler"
)

const namedAccounts = 20

// Guards against metrics that grow with the number of accounts, and against a large account that is not seen because
// small ones came before it.
func TestLargestAccountsAreNamed(t *testing.T) {
	is := is.New(t)
	named := map[string]bool{}
	l := labeler.New(labeler.Config{OnDrop: func(account string) { delete(named, account) }})
	now := time.Unix(0, 0)
	send := func(account string, requests int) {
		for range requests {
			if name := l.Label(account, now); name != labeler.Others {
				named[name] = true
			}
		}
	}
	for second := range 60 {
		now = time.Unix(int64(second), 0)
		for i := range 1000 {
			send(fmt.Sprintf("small-%d", i), 1)
		}
		if second > 10 {
			send("hot", 50)
		}
		is.True(len(named) <= namedAccounts)
	}
	is.True(named["hot"])
	is.Equal(len(named), namedAccounts)
	for second := range 60 {
		now = time.Unix(60+int64(second), 0)
		send("hot", 1)
		for i := range 1000 {
			send(fmt.Sprintf("small-%d", i), 1)
		}
	}
	is.True(named["hot"]) // not smaller than the others
}

// Guards against counters that start anew all the time because accounts of like size take turns.
func TestAccountsOfLikeSizeKeepTheirNames(t *testing.T) {
	is := is.New(t)
	dropped := 0
	l := labeler.New(labeler.Config{OnDrop: func(string) { dropped++ }})
	for second := range 300 {
		for i := range 100 {
			for range 10 + (i+second/10)%7 {
				l.Label(fmt.Sprint(i), time.Unix(int64(second), 0))
			}
		}
	}
	is.Equal(dropped, 0)
}

// Guards against accounts that are remembered for good after they have been taken out of the configuration.
func TestAccountsThatDoNotExistAreDropped(t *testing.T) {
	is := is.New(t)
	var dropped []string
	l := labeler.New(labeler.Config{OnDrop: func(account string) { dropped = append(dropped, account) }})
	is.Equal(l.Label("gone", time.Unix(0, 0)), "gone")
	is.Equal(l.Label("kept", time.Unix(0, 0)), "kept")
	l.Drop(func(account string) bool { return account == "kept" })
	is.Equal(dropped, []string{"gone"})
}
