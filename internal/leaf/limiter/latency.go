package limiter

import (
	"slices"
	"time"
)

const (
	windowSamples          = 64
	initialBaselineMedians = 256    // medians whose arithmetic mean is the initial baseline
	fallingBaselineWeight  = 0.002  // weight of a median below the baseline
	risingBaselineWeight   = 0.0005 // weight of a median above it; low, or a sustained overload would become the baseline
)

type (
	// latencyWindow compares the median latency of the last successes with a slowly moving baseline. It uses
	// medians so that a few slow calls do not count as overload.
	latencyWindow struct {
		// samples has the last latencies, at most windowSamples, oldest first.
		samples []time.Duration
		// baseline is zero until the first full window.
		baseline time.Duration
		median   time.Duration
		// medianCount is the number of medians that went into the baseline, up to initialBaselineMedians.
		medianCount int
	}
)

func (w *latencyWindow) add(latency time.Duration) {
	w.samples = append(w.samples, latency)
	if len(w.samples) > windowSamples {
		w.samples = w.samples[1:]
	}
	sorted := slices.Clone(w.samples)
	slices.Sort(sorted)
	w.median = sorted[len(sorted)/2]
	if len(w.samples) == windowSamples {
		w.updateBaseline()
	}
}

func (w *latencyWindow) updateBaseline() {
	weight := risingBaselineWeight
	if w.median < w.baseline {
		weight = fallingBaselineWeight
	}
	if w.medianCount < initialBaselineMedians {
		w.medianCount++
		weight = 1 / float64(w.medianCount)
	}
	w.baseline += time.Duration(weight * float64(w.median-w.baseline))
}

// gradient returns the factor for the limit: 1 while the median is at most latencyTolerance times the baseline,
// less when it is above, and at least minGradient.
func (w *latencyWindow) gradient() float64 {
	if w.baseline == 0 || w.median == 0 || len(w.samples) < windowSamples {
		return 1
	}
	gradient := latencyTolerance * float64(w.baseline) / float64(w.median)
	return min(1, max(minGradient, gradient))
}

// jumped reports whether each of the last successes took at least latencyJumpFactor times the baseline, as
// after a restart of the leaf.
func (w *latencyWindow) jumped() bool {
	if w.baseline == 0 || len(w.samples) < latencyJumpSamples {
		return false
	}
	for _, s := range w.samples[len(w.samples)-latencyJumpSamples:] {
		if float64(s) < latencyJumpFactor*float64(w.baseline) {
			return false
		}
	}
	return true
}

// reset discards the samples and the baseline, so that a leaf that stays slower gets a new baseline.
func (w *latencyWindow) reset() {
	*w = latencyWindow{}
}

func (w *latencyWindow) medianOrBaseline() time.Duration {
	if len(w.samples) == 0 {
		return w.baseline
	}
	return w.median
}
