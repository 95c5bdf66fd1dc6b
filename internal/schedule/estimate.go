package schedule

import (
	"time"

	"filbertcross/internal/model"
)

const (
	peakDecay       = 0.01 // part of the way from peak to a lower report
	runtimeGain     = 0.3  // weight of the last run in the learned run time
	minRuns         = 2    // runs before the learned run time counts
	throttledGrowth = 1.25 // a throttled task at its limit would use so much more
	limitReached    = 0.95 // part of the limit from which a throttled task is taken to be at it
	honestMargin    = 1.1  // peaks up to this factor of the declared size do not raise a grant
)

// estimate is what was learned of a workload from its usage reports and ended runs.
type estimate struct {
	peak    amount
	reports int
	run     time.Duration // smoothed
	runs    int
}

// amount is a smoothed model.Resources without accelerators, which are never corrected.
type amount struct{ milliCPU, memoryMiB float64 }

// observe learns from a report of one task.
func (e *estimate) observe(used, granted model.Resources, throttled bool) {
	e.reports++
	cpu := float64(used.MilliCPU)
	if throttled && cpu >= limitReached*float64(granted.MilliCPU) {
		cpu *= throttledGrowth
	}
	e.peak.milliCPU = decayingPeak(e.peak.milliCPU, cpu)
	e.peak.memoryMiB = decayingPeak(e.peak.memoryMiB, float64(used.MemoryMiB))
}

func decayingPeak(peak, seen float64) float64 {
	if seen >= peak {
		return seen
	}
	return peak + (seen-peak)*peakDecay
}

// finished learns the run time of a task that ended by itself.
func (e *estimate) finished(ran time.Duration) {
	e.runs++
	if e.runs == 1 {
		e.run = ran
		return
	}
	e.run += time.Duration(float64(ran-e.run) * runtimeGain)
}

// runtime returns the expected run time of a task.
func (e *estimate) runtime(declared time.Duration, opts Options) time.Duration {
	switch {
	case opts.Correct && e.runs >= minRuns:
		return e.run
	case declared > 0:
		return declared
	default:
		return opts.DefaultRuntime
	}
}

// grant returns the size to grant to a task.
func (e *estimate) grant(declared model.Resources, opts Options) model.Resources {
	if !opts.Correct || e.reports < opts.MinObservations {
		return declared
	}
	size := declared
	size.MilliCPU = corrected(declared.MilliCPU, e.peak.milliCPU, opts)
	size.MemoryMiB = corrected(declared.MemoryMiB, e.peak.memoryMiB, opts)
	return size
}

// corrected returns the grant for one component.
func corrected(declared int64, peak float64, opts Options) int64 {
	if declared == 0 {
		return 0
	}
	want := peak * opts.Headroom
	size := float64(declared)
	if peak <= size*honestMargin {
		want = min(want, size)
	}
	want = min(max(want, size/opts.MaxCorrection), size*opts.MaxCorrection)
	return max(int64(want), 1)
}
