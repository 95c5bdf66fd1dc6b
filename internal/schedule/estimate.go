package schedule

import (
	"math"
	"time"

	"filbertcross/internal/model"
)

const (
	usageSmoothing         = 0.05 // weight of a report in the mean and the mean deviation
	headroomDeviations     = 3    // headroom in multiples of the mean deviation
	minHeadroom            = 1.02
	peakDecay              = 0.01 // fraction of the difference by which a lower report reduces the peak
	runtimeSmoothing       = 0.3  // weight of the last run in the learned runtime
	minLearnedRuns         = 2    // completed runs before the learned runtime is used
	throttledDemandFactor  = 1.25 // assumed demand of a throttled task at its limit, relative to its use
	throttledLimitFraction = 0.95 // a throttled task counts as being at its limit from this fraction of it
	declaredSizeMargin     = 1.1  // peaks up to this multiple of the declared size do not raise a grant
)

// estimate holds the usage and runtime learned from a workload's usage reports and completed
// runs.
type estimate struct {
	milliCPU    usageStats
	memoryMiB   usageStats
	reports     int
	meanRuntime time.Duration // smoothed
	runs        int
}

// observe adds a usage report of one task.
func (e *estimate) observe(used, granted model.Resources, throttled bool) {
	e.reports++
	cpu := float64(used.MilliCPU)
	if throttled && cpu >= throttledLimitFraction*float64(granted.MilliCPU) {
		cpu *= throttledDemandFactor
	}
	e.milliCPU.add(cpu)
	e.memoryMiB.add(float64(used.MemoryMiB))
}

// usageStats summarizes the reports of one resource: a decaying peak, the smoothed mean and
// the smoothed mean deviation.
type usageStats struct{ peak, mean, deviation float64 }

func (u *usageStats) add(reported float64) {
	if u.mean == 0 {
		*u = usageStats{peak: reported, mean: reported, deviation: reported} // large deviation until reports agree
		return
	}
	u.deviation += (math.Abs(reported-u.mean) - u.deviation) * usageSmoothing
	u.mean += (reported - u.mean) * usageSmoothing
	if reported >= u.peak {
		u.peak = reported
		return
	}
	u.peak += (reported - u.peak) * peakDecay
}

// recommended returns the peak times a headroom factor, which grows with the relative deviation
// of the reports up to maxFactor.
func (u *usageStats) recommended(maxFactor float64) float64 {
	if u.mean == 0 {
		return u.peak * maxFactor
	}
	return u.peak * min(max(1+headroomDeviations*u.deviation/u.mean, minHeadroom), maxFactor)
}

// observeRuntime adds the runtime of a task that ended by itself.
func (e *estimate) observeRuntime(ran time.Duration) {
	e.runs++
	if e.runs == 1 {
		e.meanRuntime = ran
		return
	}
	e.meanRuntime += time.Duration(float64(ran-e.meanRuntime) * runtimeSmoothing)
}

// runtime returns the expected runtime of a task.
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

// grant returns the size to grant to a task with the declared size.
func (e *estimate) grant(declared model.Resources, opts Options) model.Resources {
	if !opts.LearnFromUsage || e.reports < opts.MinUsageReports {
		return declared
	}
	size := declared
	size.MilliCPU = correctedGrant(declared.MilliCPU, &e.milliCPU, opts)
	size.MemoryMiB = correctedGrant(declared.MemoryMiB, &e.memoryMiB, opts)
	return size
}

// correctedGrant returns the grant for one resource.
func correctedGrant(declared int64, stats *usageStats, opts Options) int64 {
	if declared == 0 {
		return 0
	}
	want := stats.recommended(opts.MaxHeadroom)
	size := float64(declared)
	if stats.peak <= size*declaredSizeMargin {
		want = min(want, size)
	}
	want = min(max(want, size/opts.MaxCorrectionFactor), size*opts.MaxCorrectionFactor)
	return max(int64(want), 1)
}
