package schedule

import (
	"math"
	"time"

	"filbertcross/internal/model"
)

const (
	usageSmoothing         = 0.05 // weight of a report in the mean and the distance from it
	headroomDeviations     = 3    // headroom in distances from the mean
	minHeadroom            = 1.02
	peakDecay              = 0.01 // part of the way from peak to a lower report
	runtimeSmoothing       = 0.3  // weight of the last run in the learned run time
	minLearnedRuns         = 2    // runs before the learned run time counts
	throttledDemandFactor  = 1.25 // a throttled task at its limit would use so much more
	throttledLimitFraction = 0.95 // part of the limit from which a throttled task is taken to be at it
	declaredSizeMargin     = 1.1  // peaks up to this factor of the declared size do not raise a grant
)

// estimate is what was learned of a workload from its usage reports and ended runs.
type estimate struct {
	milliCPU    usageStats
	memoryMiB   usageStats
	reports     int
	meanRuntime time.Duration // smoothed
	runs        int
}

// observe learns from a report of one task.
func (e *estimate) observe(used, granted model.Resources, throttled bool) {
	e.reports++
	cpu := float64(used.MilliCPU)
	if throttled && cpu >= throttledLimitFraction*float64(granted.MilliCPU) {
		cpu *= throttledDemandFactor
	}
	e.milliCPU.add(cpu)
	e.memoryMiB.add(float64(used.MemoryMiB))
}

// usageStats follows the reports of one resource: a peak that decays, the mean and the mean
// distance from it.
type usageStats struct{ peak, mean, deviation float64 }

func (d *usageStats) add(seen float64) {
	if d.mean == 0 {
		*d = usageStats{peak: seen, mean: seen, deviation: seen} // wide until reports agree
		return
	}
	d.deviation += (math.Abs(seen-d.mean) - d.deviation) * usageSmoothing
	d.mean += (seen - d.mean) * usageSmoothing
	if seen >= d.peak {
		d.peak = seen
		return
	}
	d.peak += (seen - d.peak) * peakDecay
}

// recommended is the peak with a headroom that follows the spread of the reports.
func (d *usageStats) recommended(most float64) float64 {
	if d.mean == 0 {
		return d.peak * most
	}
	return d.peak * min(max(1+headroomDeviations*d.deviation/d.mean, minHeadroom), most)
}

// observeRuntime learns the run time of a task that ended by itself.
func (e *estimate) observeRuntime(ran time.Duration) {
	e.runs++
	if e.runs == 1 {
		e.meanRuntime = ran
		return
	}
	e.meanRuntime += time.Duration(float64(ran-e.meanRuntime) * runtimeSmoothing)
}

// runtime returns the expected run time of a task.
func (e *estimate) runtime(declared time.Duration, opts Options) time.Duration {
	switch {
	case opts.LearnFromUsage && e.runs >= minLearnedRuns:
		return e.meanRuntime
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
	size.MilliCPU = correctedGrant(declared.MilliCPU, &e.milliCPU, opts)
	size.MemoryMiB = correctedGrant(declared.MemoryMiB, &e.memoryMiB, opts)
	return size
}

// correctedGrant returns the grant for one component.
func correctedGrant(declared int64, seen *usageStats, opts Options) int64 {
	if declared == 0 {
		return 0
	}
	want := seen.recommended(opts.MaxHeadroom)
	size := float64(declared)
	if seen.peak <= size*declaredSizeMargin {
		want = min(want, size)
	}
	want = min(max(want, size/opts.MaxCorrectionFactor), size*opts.MaxCorrectionFactor)
	return max(int64(want), 1)
}
