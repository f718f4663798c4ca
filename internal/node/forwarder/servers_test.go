package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a long stop that ends requests seconds before it must although their leaves are still at work.
func TestStopEndsRequestsNoSoonerThanAnswersNeed(t *testing.T) {
	const longestReserve = 600 * time.Millisecond
	for _, stopTime := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, 30 * time.Second, time.Hour} {
		is := is.New(t)
		s := scheduleStop(stopTime)
		is.True(s.serveFor < s.answerBy && s.answerBy < s.finishBy && s.finishBy < stopTime)
		is.True(stopTime-s.answerBy <= longestReserve)
		is.True(s.answerBy >= stopTime*9/10)
	}
}
