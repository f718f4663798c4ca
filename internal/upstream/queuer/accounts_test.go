package queuer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/account/weigher"
	"github.com/magnoliastep/magnoliastep/internal/upstream/queuer"
)

// account is a client account in a simulated load.
type account struct {
	// perSecond is the rate of its requests, and share what it is owed.
	perSecond, share float64
}

// playAccounts sends calls of several accounts to a leaf with one slot, 20 ms for each call, for ten seconds. It
// returns how many calls of each account were answered in time per second of the play. A call that has waited for a
// second leaves.
func playAccounts(accounts []account, seed uint64, weighed bool) []float64 {
	const (
		step, work, target = ms, 20 * ms, 150 * ms
		length             = 10 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 2))
	w := weigher.New()
	var q queuer.Queuer[int]
	waiting := map[*queuer.Call[int]]time.Time{}
	inTime := make([]float64, len(accounts))
	start := time.Unix(0, 0)
	var busyUntil time.Time
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for i, a := range accounts {
			if random.Float64() >= a.perSecond*step.Seconds() {
				continue
			}
			c := &queuer.Call[int]{Value: i, InTimeUntil: now.Add(target - work)}
			if weighed {
				c.Account = w.Account(string(rune('a'+i)), a.share, now)
			}
			q.Add(c)
			waiting[c] = now
		}
		for c, since := range waiting {
			if now.Sub(since) > time.Second && q.Remove(c) {
				delete(waiting, c)
			}
		}
		for !now.Before(busyUntil) && q.Len() > 0 {
			c := q.Take(now)
			w.Account(string(rune('a'+c.Value)), accounts[c.Value].share, now).Charge(work, now)
			busyUntil = now.Add(work)
			if busyUntil.Sub(waiting[c]) <= target {
				inTime[c.Value] += 1 / length.Seconds()
			}
			delete(waiting, c)
		}
	}
	return inTime
}

// Plays a leaf that can answer 50 calls a second. Four accounts ask for 8 a second each; a fifth, owed the same, asks
// for 60. In order of arrival alone the fifth takes most of the room and makes the others late. Weighed by use the four
// must get nearly all that they ask for, and the fifth what is left, not nothing.
func TestAccountThatSendsMostDoesNotPushOthersOut(t *testing.T) {
	is := is.New(t)
	accounts := []account{{8, 10}, {8, 10}, {8, 10}, {8, 10}, {60, 10}}
	for seed := range uint64(5) {
		before, after := playAccounts(accounts, seed, false), playAccounts(accounts, seed, true)
		t.Logf("seed %d: in time a second before %.1f, after %.1f", seed, before, after)
		quiet, quietBefore := 0.0, 0.0
		for i := range 4 {
			quiet += after[i]
			quietBefore += before[i]
		}
		is.True(quiet > 0.9*32)            // the four get what they ask for
		is.True(quiet > 1.2*quietBefore)   // which they did not before
		is.True(after[4] > quiet/4)        // the fifth gets at least as much as one of them
		is.True(after[4] < before[4])      // at its own cost
		is.True(after[4] > 0.2*(50-quiet)) // and the room is not wasted
	}
}

// An account that is owed three times as much as another gets about three times as much of room that is short.
func TestShortRoomIsSharedByWhatAccountsAreOwed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		got := playAccounts([]account{{60, 30}, {60, 10}}, seed, true)
		t.Logf("seed %d: in time a second %.1f", seed, got)
		is.True(got[0] > 1.5*got[1])
		is.True(got[1] > (got[0]+got[1])/2/4) // not starved
	}
}
