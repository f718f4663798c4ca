package reserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/memory/reserver"
)

func TestReservationsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	waits := 0
	r := reserver.New(reserver.Config{Bytes: 10, OnWait: func() { waits++ }})
	first := r.TryReserve(6)
	is.True(first != nil)
	is.True(r.TryReserve(5) == nil)
	second := r.TryReserve(4)
	is.Equal(r.Reserved(), int64(10))
	first.Shrink(2)
	first.Shrink(5) // no growth
	is.Equal(r.Reserved(), int64(6))
	second.Release()
	second.Release() // released once
	is.Equal(r.Reserved(), int64(2))
	is.Equal(waits, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := r.Reserve(ctx, 9)
	is.True(err != nil)
	is.Equal(waits, 1)
	first.Release()
	is.Equal(r.Reserved(), int64(0))
	var none *reserver.Reservation
	none.Release()
}

// Guards against a message that never gets its room because it may need more than there is.
func TestReservationOfMoreThanThereIsTakesAll(t *testing.T) {
	is := is.New(t)
	r := reserver.New(reserver.Config{Bytes: 10})
	small := r.TryReserve(1)
	granted := make(chan *reserver.Reservation)
	go func() {
		v, err := r.Reserve(t.Context(), 50)
		is.NoErr(err)
		granted <- v
	}()
	time.Sleep(10 * time.Millisecond)
	small.Release()
	v := <-granted
	is.Equal(r.Reserved(), int64(10))
	v.Release()
	is.Equal(r.Reserved(), int64(0))
}
