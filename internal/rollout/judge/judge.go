// Package judge tells a bad software version of a service from a good one by the answers of its leaves. An answer is
// bad if it is a failure or several times slower than the answers of the leaves of other versions on the same route at
// the same time. How many bad answers are to be expected is taken from those other leaves, too, so that a service in
// trouble as a whole does not make its new version a bad one.
//
// It answers this load: a version that gets a few answers per second, of which a share is bad at once or later, perhaps
// on one route only, must be found before it has given 50 bad answers. One bad leaf of a good version is not held
// against the version, and answers of a cold leaf may be slow.
//
// The judge adds up, for each route and leaf, the bad answers in excess of those expected, and never lets a sum fall
// below zero, so that good answers of the past don't hide bad ones of the present. It counts failures and slow answers
// apart, because latencies vary more.
package judge

import (
	"math"
	"time"
)

// The kinds of bad answers.
const (
	failures = iota
	slowness
	kinds
)

const (
	// Buckets is the number of latency buckets. The lower bound of the first is 1 ms, that of the last is 52 s.
	Buckets = 48
	// bucketsPerDoubling is the number of buckets in which the latency doubles.
	bucketsPerDoubling = 3
	// slowBuckets is how many buckets above the median of the other versions an answer is slow: 2 to 3.2 times as
	// long.
	slowBuckets = 4
	// evaluationDelay is how long answers of the new version wait for those of the other versions from the same
	// time.
	evaluationDelay = time.Second
	// The half-lives of the windows of the other versions' answers. The current and the recent window follow
	// trouble of the whole service. The steady one still has the answers of the time when the other versions
	// carried the load.
	currentHalfLife = 700 * time.Millisecond
	recentHalfLife  = 2 * time.Second
	steadyHalfLife  = 20 * time.Second
	// minWindowAnswers is how many answers a window needs to be compared with.
	minWindowAnswers = 3
	// The bad answers allowed are allowedFactor times the share of the other versions, and allowedShare of all.
	allowedFactor = 1.5
	allowedShare  = 0.03
	// The excess that makes a version bad is baseExcess and, because the noise is larger where the other versions
	// have bad answers, excessPerShare times their share, up to maxNoiseShare.
	baseExcess     = 4
	excessPerShare = 30
	maxNoiseShare  = 0.3
	// The worst leaf of a version says nothing about the version if the others have so many answers that they would
	// have minExpected bad ones if they were as bad. With fewer the excess must be loneFactor times as large.
	minExpected = 2.5
	loneFactor  = 2.5
	// allRoutesFactor multiplies the excess that is required if it is summed over all routes.
	allRoutesFactor = 1.5
)

type (
	// Source is where answers come from.
	Source struct {
		Route string
		// Leaf is the ID of a leaf of the new version, or "" for all leaves of other versions.
		Leaf string
		// Cold is set for answers that a leaf of the new version gave while it was cold.
		Cold bool
	}

	// Counts are numbers of answers. All answers that aren't failures are in Latencies.
	Counts struct {
		Failures  uint64
		Latencies [Buckets]uint64
	}

	// Verdict is what the answers so far say of the new version.
	Verdict struct {
		// Bad is set for good once the version is bad.
		Bad bool
		// Kind says whether the excess is one of failures or of slow answers.
		Kind string
		// Route is the route on which the version is bad; "" for all routes together.
		Route string
		// Excess is the largest sum of bad answers in excess of those expected, and Limit the one at which it
		// is bad.
		Excess, Limit float64
		// Answers and BadAnswers count the answers of the new version that have been judged.
		Answers, BadAnswers uint64
	}

	// Judge judges one version. It is not safe for concurrent use.
	Judge struct {
		leaves  int
		routes  map[string]*route
		pending []sample
		verdict Verdict
	}

	sample struct {
		source Source
		counts Counts
		at     time.Time
	}

	route struct {
		current, recent, steady window
		leaves                  map[string]*leaf
		// noise is the share of bad answers of each kind of the other versions at the last evaluation.
		noise shares
	}

	leaf struct {
		answers uint64
		// excess has the sum of each kind, never below 0.
		excess [kinds]float64
	}

	// shares has a share of answers for each kind of bad ones.
	shares [kinds]float64

	// window has the answers of the other versions on a route, older ones with less weight.
	window struct {
		halfLife  time.Duration
		updatedAt time.Time
		failures  float64
		latencies [Buckets]float64
	}
)

// New returns a Judge without answers.
func New() *Judge {
	return &Judge{routes: map[string]*route{}, leaves: 1}
}

// BucketOf returns the bucket of a latency.
func BucketOf(latency time.Duration) int {
	milliseconds := max(float64(latency)/float64(time.Millisecond), 1)
	return min(int(bucketsPerDoubling*math.Log2(milliseconds)), Buckets-1)
}

// Answers returns the number of answers, failures included.
func (c *Counts) Answers() uint64 {
	sum := c.Failures
	for _, n := range c.Latencies {
		sum += n
	}
	return sum
}

// Since returns the answers that were counted after an earlier state of the same counts.
func (c *Counts) Since(earlier Counts) Counts {
	d := Counts{Failures: c.Failures - min(c.Failures, earlier.Failures)}
	for i, n := range c.Latencies {
		d.Latencies[i] = n - min(n, earlier.Latencies[i])
	}
	return d
}

// SetLeaves sets how many leaves of the new version there are.
func (j *Judge) SetLeaves(leaves int) { j.leaves = leaves }

// Add adds answers that were given shortly before now.
func (j *Judge) Add(s Source, c Counts, now time.Time) {
	if c.Answers() == 0 {
		return
	}
	if s.Leaf != "" {
		j.pending = append(j.pending, sample{source: s, counts: c, at: now})
		return
	}
	r := j.route(s.Route)
	r.current.add(c, now)
	r.recent.add(c, now)
	r.steady.add(c, now)
}

// Evaluate judges the answers that have waited long enough and returns the verdict.
func (j *Judge) Evaluate(now time.Time) Verdict {
	due := 0
	for due < len(j.pending) && now.Sub(j.pending[due].at) >= evaluationDelay {
		j.evaluate(j.pending[due], now)
		due++
	}
	j.pending = j.pending[due:]
	if due > 0 && !j.verdict.Bad {
		j.decide()
	}
	return j.verdict
}

func (j *Judge) route(name string) *route {
	r := j.routes[name]
	if r == nil {
		r = &route{
			current: window{halfLife: currentHalfLife}, recent: window{halfLife: recentHalfLife},
			steady: window{halfLife: steadyHalfLife}, leaves: map[string]*leaf{},
		}
		j.routes[name] = r
	}
	return r
}

// evaluate compares answers of one leaf of the new version with those of the other versions.
func (j *Judge) evaluate(s sample, now time.Time) {
	r := j.route(s.source.Route)
	slowFrom := r.slowFrom(now)
	r.noise = largest(r.recent.badShares(slowFrom, now), r.steady.badShares(slowFrom, now))
	usual := largest(r.noise, r.current.badShares(slowFrom, now))
	bad := [kinds]uint64{failures: s.counts.Failures}
	for i := slowFrom; i < Buckets && !s.source.Cold; i++ {
		bad[slowness] += s.counts.Latencies[i]
	}
	l := r.leaves[s.source.Leaf]
	if l == nil {
		l = &leaf{}
		r.leaves[s.source.Leaf] = l
	}
	answers := s.counts.Answers()
	l.answers += answers
	for k := range kinds {
		allowed := float64(answers) * (allowedFactor*usual[k] + allowedShare)
		l.excess[k] = max(0, l.excess[k]+float64(bad[k])-allowed)
	}
	j.verdict.Answers += answers
	j.verdict.BadAnswers += bad[failures] + bad[slowness]
}

// largest returns the larger share of each kind.
func largest(a, b shares) shares {
	for k := range a {
		a[k] = max(a[k], b[k])
	}
	return a
}

// slowFrom returns the first bucket of slow answers; Buckets if there is nothing to compare with.
func (r *route) slowFrom(now time.Time) int {
	median := max(r.recent.median(now), r.steady.median(now))
	if median < 0 {
		return Buckets
	}
	return min(median+slowBuckets, Buckets)
}

// decide sets the verdict from the sums of each route and of all routes.
func (j *Judge) decide() {
	all, noise := map[string]*leaf{}, shares{}
	j.verdict.Excess, j.verdict.Limit = 0, 0
	for name, r := range j.routes {
		for id, l := range r.leaves {
			if all[id] == nil {
				all[id] = &leaf{}
			}
			all[id].answers += l.answers
			for k := range kinds {
				all[id].excess[k] += l.excess[k]
			}
		}
		noise = largest(noise, r.noise)
		for k := range kinds {
			j.compare(name, k, r.leaves, limit(r.noise[k]))
		}
	}
	for k := range kinds {
		j.compare("", k, all, allRoutesFactor*limit(noise[k]))
	}
}

func limit(badShare float64) float64 {
	return baseExcess + excessPerShare*min(badShare, maxNoiseShare)
}

// compare makes the version bad if the leaves have the excess without the worst of them.
func (j *Judge) compare(route string, kind int, leaves map[string]*leaf, limit float64) {
	sum, answers, worst := 0.0, uint64(0), &leaf{}
	for _, l := range leaves {
		sum += l.excess[kind]
		answers += l.answers
		if l.excess[kind] > worst.excess[kind] {
			worst = l
		}
	}
	expected := float64(answers-worst.answers) * worst.excess[kind] / float64(max(worst.answers, 1))
	switch {
	case j.leaves <= 1:
	case expected >= minExpected:
		sum -= worst.excess[kind]
	default:
		limit *= loneFactor
	}
	if j.verdict.Bad || sum < limit && sum*j.verdict.Limit <= j.verdict.Excess*limit && j.verdict.Limit > 0 {
		return
	}
	j.verdict.Kind = [kinds]string{"failures", "slowness"}[kind]
	j.verdict.Route, j.verdict.Excess, j.verdict.Limit, j.verdict.Bad = route, sum, limit, sum >= limit
}

func (w *window) decay(now time.Time) {
	if !w.updatedAt.IsZero() && now.After(w.updatedAt) {
		factor := math.Exp2(-float64(now.Sub(w.updatedAt)) / float64(w.halfLife))
		w.failures *= factor
		for i := range w.latencies {
			w.latencies[i] *= factor
		}
	}
	w.updatedAt = now
}

func (w *window) add(c Counts, now time.Time) {
	w.decay(now)
	w.failures += float64(c.Failures)
	for i, n := range c.Latencies {
		w.latencies[i] += float64(n)
	}
}

func (w *window) successes() float64 {
	sum := 0.0
	for _, n := range w.latencies {
		sum += n
	}
	return sum
}

// median returns the bucket of the median latency, or -1 if there are too few answers.
func (w *window) median(now time.Time) int {
	w.decay(now)
	total, sum := w.successes(), 0.0
	if total < minWindowAnswers {
		return -1
	}
	for i, n := range w.latencies {
		if sum += n; sum >= total/2 {
			return i
		}
	}
	return Buckets - 1
}

// badShares returns the share of each kind of bad answers with its standard error, because few answers of the other
// versions may stand for many of the new one; 0 if there are too few answers.
func (w *window) badShares(slowFrom int, now time.Time) shares {
	w.decay(now)
	bad, total := shares{failures: w.failures}, w.failures+w.successes()
	if total < minWindowAnswers {
		return shares{}
	}
	for i := slowFrom; i < Buckets; i++ {
		bad[slowness] += w.latencies[i]
	}
	for k := range bad {
		share := bad[k] / total
		bad[k] = min(share+math.Sqrt(share*(1-share)/total), 1)
	}
	return bad
}
