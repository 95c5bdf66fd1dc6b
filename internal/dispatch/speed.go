package dispatch

import (
	"math"
	"slices"
	"time"

	"filbertcross/internal/event"
)

// Learning of speeds. A sample is the logarithm of a run's duration relative to the median of its
// step, whose tasks have similar work. Within one worker samples vary by about sampleDeviation.
const (
	sampleDeviation   = 0.3 // standard deviation
	minStepSamples    = 4   // fewer runs of a step have no useful median
	workerMemory      = 16  // samples; older ones fade, so that a change shows within a few
	kindMemory        = 200 // samples
	significance      = 3.0 // standard errors that a difference must exceed
	minSpeedDeviation = 0.1 // smaller differences have no effect on placement
	speedLogInterval  = time.Second
)

// speedMean is a mean of samples that fade with their number.
type speedMean struct{ sum, weight float64 }

func (m *speedMean) add(sample, memory float64) {
	keep := 1 - 1/memory
	m.sum, m.weight = m.sum*keep+sample, m.weight*keep+1
}

func (m *speedMean) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// deviation returns the difference of the mean from a reference, or 0 if it is not significant.
func (m *speedMean) deviation(reference float64) float64 {
	difference := m.mean() - reference
	if m.weight == 0 || math.Abs(difference) <= minSpeedDeviation+significance*sampleDeviation/math.Sqrt(m.weight) {
		return 0
	}
	return difference
}

// timedRun is a completed run of a step, for the speed of its worker.
type timedRun struct {
	worker   *worker
	duration time.Duration
}

// recordDuration records a completed run for learnSpeeds, unless something other than its worker's
// speed determined its duration.
func (s *step) recordDuration(r *run, duration time.Duration) {
	if s.def.Gang || r.pace != fullPace || s.def.PreferredRack != "" && !slices.Contains(r.worker.entry.Labels, s.def.PreferredRack) {
		return
	}
	s.timedRuns = append(s.timedRuns, timedRun{r.worker, duration})
}

// learnSpeeds takes samples from a step that is complete.
func (d *Dispatcher) learnSpeeds(s *step) {
	runs := s.timedRuns
	s.timedRuns = nil
	if len(runs) < minStepSamples {
		return
	}
	logs := make([]float64, len(runs))
	for i, r := range runs {
		logs[i] = math.Log(max(r.duration.Seconds(), time.Millisecond.Seconds()))
	}
	sorted := slices.Sorted(slices.Values(logs))
	median := (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
	for i, r := range runs {
		r.worker.speed.add(logs[i]-median, workerMemory)
		kind := r.worker.kind()
		if d.kindSpeeds[kind] == nil {
			d.kindSpeeds[kind] = &speedMean{}
		}
		d.kindSpeeds[kind].add(logs[i]-median, kindMemory)
	}
}

// updateSlowdowns determines the slowdown of every worker from the samples of its kind and its own.
func (d *Dispatcher) updateSlowdowns() {
	for _, w := range d.workerList {
		base := 0.0
		if k := d.kindSpeeds[w.kind()]; k != nil {
			base = k.deviation(0)
		}
		w.slowdown = math.Exp(base + w.speed.deviation(base))
	}
}

// recordSpeeds records the slowdown of each kind of worker that differs from the others.
func (d *Dispatcher) recordSpeeds(now time.Duration) {
	if now < d.speedsRecorded+speedLogInterval {
		return
	}
	d.speedsRecorded = now
	for kind, k := range d.kindSpeeds {
		if known := math.Exp(k.deviation(0)); math.Abs(math.Log(known/max(d.recordedSpeeds[kind], 0.01))) > minSpeedDeviation && known != 1 {
			d.recordedSpeeds[kind] = known
			d.events.Record(event.WorkerKindSpeed, kind, known, k.weight)
		}
	}
}

// Preference among workers of different speeds.
const (
	// penaltyTooSlow applies to a worker on which a step is expected to end late. It outweighs the
	// utilization, but no penalty for what the worker did to earlier runs.
	penaltyTooSlow = 1.5
	// slowPreference, for each unit of the logarithm of the slowdown, makes steps that have time use
	// slow workers, so that fast ones are free for those that have not.
	slowPreference = 1.0
	// slowdownMargin is the part of a step's time that may be planned for: estimates are inaccurate.
	slowdownMargin = 0.7
)

// maxSlowdown returns the slowdown up to which the step is expected to meet its objective; 0: it
// cannot, whatever the worker.
func (s *step) maxSlowdown(now time.Duration) float64 {
	path := s.job.pathsToEnd[s.id.Step]
	left := s.job.objectiveEnd() - now
	if s.def.LongRunning || s.job.sub.HasSchedule() || path <= 0 || left < path {
		return 0
	}
	return max(slowdownMargin*float64(left)/float64(path), 1)
}

// speedScore rates the speed of a worker for a step with the given maximum slowdown, lower being
// better. It is 0 for workers whose speed is not known to differ.
func (w *worker) speedScore(maxSlowdown float64) float64 {
	switch {
	case maxSlowdown == 0 || w.slowdown == 1 || w.slowdown == 0:
		return 0
	case w.slowdown > maxSlowdown:
		return penaltyTooSlow
	}
	return -slowPreference * math.Log(w.slowdown)
}

// kind returns the worker's kind, the first of its labels.
func (w *worker) kind() string {
	if len(w.entry.Labels) == 0 {
		return ""
	}
	return w.entry.Labels[0]
}
