package schedule

import (
	"math"
	"time"

	"filbertcross/internal/model"
)

const (
	spreadGain      = 0.05 // weight of a report in the mean and the distance from it
	headroomSpread  = 3    // headroom in distances from the mean
	headroomLeast   = 1.02
	peakDecay       = 0.01 // part of the way from peak to a lower report
	runtimeGain     = 0.3  // weight of the last run in the learned run time
	minRuns         = 2    // runs before the learned run time counts
	throttledGrowth = 1.25 // a throttled task at its limit would use so much more
	limitReached    = 0.95 // part of the limit from which a throttled task is taken to be at it
	honestMargin    = 1.1  // peaks up to this factor of the declared size do not raise a grant
)

// estimate is what was learned of a workload from its usage reports and ended runs.
type estimate struct {
	milliCPU  spread
	memoryMiB spread
	reports   int
	run       time.Duration // smoothed
	runs      int
}

// observe learns from a report of one task.
func (e *estimate) observe(used, granted model.Resources, throttled bool) {
	e.reports++
	cpu := float64(used.MilliCPU)
	if throttled && cpu >= limitReached*float64(granted.MilliCPU) {
		cpu *= throttledGrowth
	}
	e.milliCPU.add(cpu)
	e.memoryMiB.add(float64(used.MemoryMiB))
}

// spread follows the reports of one resource: a peak that decays, the mean and the mean
// distance from it.
type spread struct{ peak, mean, distance float64 }

func (d *spread) add(seen float64) {
	if d.mean == 0 {
		*d = spread{peak: seen, mean: seen, distance: seen} // wide until reports agree
		return
	}
	d.distance += (math.Abs(seen-d.mean) - d.distance) * spreadGain
	d.mean += (seen - d.mean) * spreadGain
	if seen >= d.peak {
		d.peak = seen
		return
	}
	d.peak += (seen - d.peak) * peakDecay
}

// want is the peak with a headroom that follows the spread of the reports.
func (d *spread) want(most float64) float64 {
	if d.mean == 0 {
		return d.peak * most
	}
	return d.peak * min(max(1+headroomSpread*d.distance/d.mean, headroomLeast), most)
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
	case opts.LearnFromUsage && e.runs >= minRuns:
		return e.run
	case declared > 0:
		return declared
	default:
		return opts.DefaultRuntime
	}
}

// grant returns the size to grant to a task.
func (e *estimate) grant(declared model.Resources, opts Options) model.Resources {
	if !opts.LearnFromUsage || e.reports < opts.MinUsageReports {
		return declared
	}
	size := declared
	size.MilliCPU = corrected(declared.MilliCPU, &e.milliCPU, opts)
	size.MemoryMiB = corrected(declared.MemoryMiB, &e.memoryMiB, opts)
	return size
}

// corrected returns the grant for one component.
func corrected(declared int64, seen *spread, opts Options) int64 {
	if declared == 0 {
		return 0
	}
	want := seen.want(opts.MaxHeadroom)
	size := float64(declared)
	if seen.peak <= size*honestMargin {
		want = min(want, size)
	}
	want = min(max(want, size/opts.MaxCorrectionFactor), size*opts.MaxCorrectionFactor)
	return max(int64(want), 1)
}
