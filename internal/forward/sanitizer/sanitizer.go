// Package sanitizer replaces values of a configuration that no route or account can be served by. A wrong value must
// neither take the configuration out of force nor give its route or account an advantage, so that gets the lowest
// priority, nor let a stranger in.
package sanitizer

import (
	"fmt"
	"time"

	"github.com/magnoliastep/magnoliastep/internal/forward/matcher"
)

const (
	// lowestPriority is the rank of a route whose priority or timeout is missing or not usable.
	lowestPriority = 1000
	// defaultTimeout replaces a timeout that is missing or not usable.
	defaultTimeout = 30 * time.Second
	// maxTimeout is the longest usable timeout.
	maxTimeout = time.Hour
	// noEntry stands for the position of an entry if a problem is in no such entry.
	noEntry = -1
)

// Problem is an unusable value.
type Problem struct {
	// Route and Account are the position of the entry that has it, from 0; noEntry if it is in no such entry.
	Route, Account int
	// Text describes the value and what takes its place. It never has a key.
	Text string
}

// Sanitize replaces unusable values in the accounts and routes of a configuration and returns a description of each.
func Sanitize(c *matcher.Config) []Problem {
	problems := sanitizeAccounts(c)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Priority < 0 || r.Priority > lowestPriority {
			problems = append(problems, routeProblem(i, "route %s: priority %d is missing or not usable; it gets the lowest",
				r.Name, r.Priority))
			r.Priority = lowestPriority
		}
		if r.Timeout <= 0 || r.Timeout > maxTimeout {
			problems = append(problems, routeProblem(i,
				"route %s: timeout %s is missing or not usable; it gets %s and the lowest priority", r.Name, r.Timeout,
				defaultTimeout))
			r.Timeout, r.Priority = defaultTimeout, lowestPriority
		}
		if r.TargetLatency <= 0 || r.TargetLatency > r.Timeout {
			r.TargetLatency = r.Timeout
		}
	}
	return problems
}

func routeProblem(position int, format string, values ...any) Problem {
	return Problem{Route: position, Account: noEntry, Text: fmt.Sprintf(format, values...)}
}
