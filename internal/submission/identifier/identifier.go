// Package identifier parses the ids of non-idempotent requests. The ids are UUIDv7 and contain their creation time,
// from which a witness can tell whether it was running early enough to have seen every attempt.
package identifier

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// CreatedAt returns the creation time of the id, with a precision of milliseconds.
func CreatedAt(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "not a UUID")
	}
	if parsed.Version() != 7 {
		return time.Time{}, errors.Newf("UUID has version %d instead of 7", parsed.Version())
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).Truncate(time.Millisecond), nil
}
