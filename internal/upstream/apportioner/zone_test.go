package apportioner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/magnoliastep/magnoliastep/internal/upstream/apportioner"
)

// Guards against calls that wait in front of a leaf with free slots, because each node of all zones keeps an equal part
// of them, and against more calls at once than equal parts or twice the slots allow.
func TestNodesInZoneOfLeafShareWhatEqualPartsLeaveOver(t *testing.T) {
	is := is.New(t)
	is.Equal(apportioner.CallsInFlightInZone(4, 2, 4), 2) // equal parts are 1 of 8
	is.Equal(apportioner.CallsInFlightInZone(4, 3, 5), 1)
	is.Equal(apportioner.CallsInFlightInZone(4, 0, 6), apportioner.CallsInFlight(4, 6))
	for slots := 1; slots < 40; slots++ {
		for inZone := 1; inZone < 20; inZone++ {
			for others := range 40 {
				equal := apportioner.CallsInFlight(slots, inZone+others)
				own := apportioner.CallsInFlightInZone(slots, inZone, others)
				is.True(own >= equal)
				is.True(own*inZone+equal*others <= max(equal*(inZone+others), 2*slots))
			}
		}
	}
}
