package limiter

import (
	"slices"
	"time"
)

const (
	windowSamples   = 64
	learningMedians = 256    // medians whose plain mean is the first baseline
	baselineFalling = 0.002  // weight of a median below the baseline
	baselineRising  = 0.0005 // weight of a median above the baseline; little, or overload became the baseline
)

type (
	// latencyWindow compares the median of the last successes with a slow baseline. Medians keep a few
	// stragglers from looking like overload.
	latencyWindow struct {
		// samples has at most windowSamples latencies, oldest first.
		samples []time.Duration
		// baseline is zero until the first full window.
		baseline time.Duration
		median   time.Duration
		// medians counts those that the baseline has seen, up to learningMedians.
		medians int
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
		w.moveBaseline()
	}
}

func (w *latencyWindow) moveBaseline() {
	weight := baselineRising
	if w.median < w.baseline {
		weight = baselineFalling
	}
	if w.medians < learningMedians {
		w.medians++
		weight = 1 / float64(w.medians)
	}
	w.baseline += time.Duration(weight * float64(w.median-w.baseline))
}

// gradient returns 1 while the latency is near the baseline, less when it is above.
func (w *latencyWindow) gradient() float64 {
	if w.baseline == 0 || w.median == 0 || len(w.samples) < windowSamples {
		return 1
	}
	gradient := latencyTolerance * float64(w.baseline) / float64(w.median)
	return min(1, max(gradientFloor, gradient))
}

// cliff tells whether the last successes were all far above the baseline.
func (w *latencyWindow) cliff() bool {
	if w.baseline == 0 || len(w.samples) < cliffSamples {
		return false
	}
	for _, s := range w.samples[len(w.samples)-cliffSamples:] {
		if float64(s) < cliffFactor*float64(w.baseline) {
			return false
		}
	}
	return true
}

// restart forgets the samples and the baseline: a leaf that stays slower gets a new baseline.
func (w *latencyWindow) restart() {
	*w = latencyWindow{}
}

func (w *latencyWindow) typical() time.Duration {
	if len(w.samples) == 0 {
		return w.baseline
	}
	return w.median
}
