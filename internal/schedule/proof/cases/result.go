package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/baseline"
	"filbertcross/internal/schedule/proof"
)

const (
	sampleIntervalTicks = 25 // between two samples of the packing
	histogramDigits     = 3
	medianPercent       = 50
	tailPercent         = 99
)

// waitKey identifies the histogram of a branch's tasks in a tier.
type waitKey struct {
	branch model.BranchID
	tier   model.Tier
}

// result holds the measures of one Decider in one scenario.
type result struct {
	decider           string
	waits             map[waitKey]*hdrhistogram.Histogram // milliseconds to the first start
	actions           map[schedule.Action]int
	starts            int
	faultyStarts      int
	messages          int     // decisions, confirmations and ends of runs
	usefulCoreSeconds float64 // work that was completed or checkpointed
	lostCoreSeconds   float64 // work that was lost
	packingSum        float64 // sum of the samples' ratios of actual to achievable usage
	samples           int
	metDeadline       map[model.JobID]bool // whether the job met its deadline, for deadlines within the scenario
	branchOf          map[model.JobID]model.BranchID
	violations        int
	firstViolation    *proof.Violation
}

func newResult(decider string) *result {
	return &result{
		decider:     decider,
		waits:       make(map[waitKey]*hdrhistogram.Histogram),
		actions:     make(map[schedule.Action]int),
		metDeadline: make(map[model.JobID]bool),
		branchOf:    make(map[model.JobID]model.BranchID),
	}
}

func (r *result) recordViolation(v *proof.Violation) {
	r.violations++
	if r.firstViolation == nil {
		r.firstViolation = v
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, scenarioLength.Milliseconds(), histogramDigits)
}

func (r *result) recordWait(a *arrival, until time.Time) {
	k := waitKey{a.job.Branch, a.job.Tier}
	if r.waits[k] == nil {
		r.waits[k] = newHistogram()
	}
	wait := until.Sub(a.job.Submitted).Milliseconds()
	// RecordValue can't fail: no wait is longer than the scenario.
	_ = r.waits[k].RecordValue(max(wait, 0))
}

// merged returns the sum of the histograms with the selected keys.
func (r *result) merged(selected func(waitKey) bool) *hdrhistogram.Histogram {
	sum := newHistogram()
	for k, h := range r.waits {
		if selected(k) {
			sum.Merge(h)
		}
	}
	return sum
}

func (r *result) recordDecision(d schedule.Decision) {
	r.actions[d.Action]++
	r.messages++
}

func (r *result) recordStart(sim *simulation, run *run) {
	r.starts++
	r.messages++
	if run.worker.faulty {
		r.faultyStarts++
	}
	if !run.task.started {
		run.task.started = true
		r.recordWait(run.task.arrival, sim.now)
	}
}

func (r *result) recordEnd(_ *simulation, run *run, outcome model.Outcome) {
	r.messages++
	cores := float64(run.task.arrival.actualSize.MilliCPU) / 1000
	switch outcome {
	case model.OutcomeDone:
		r.usefulCoreSeconds += run.workSeconds * cores
	case model.OutcomePreempted:
		lostSeconds := min(run.workSeconds, checkpointTime.Seconds())
		r.usefulCoreSeconds += (run.workSeconds - lostSeconds) * cores
		r.lostCoreSeconds += lostSeconds * cores
	case model.OutcomeFailed, model.OutcomeLost:
		r.lostCoreSeconds += run.workSeconds * cores
	}
}

// samplePacking compares the usage of the bottleneck resource with the usage that an offline
// packer achieves with the same unfinished tasks. It takes no sample if the packer places all of
// them, since usage is then limited by demand.
func (r *result) samplePacking(sim *simulation) {
	var capacities []model.Resources
	demand := make(map[model.Resources]int)
	var total, demanded, used model.Resources
	for _, w := range sim.simWorkers {
		if w.down || w.Leaving || w.faulty {
			continue
		}
		capacities = append(capacities, w.Capacity)
		total = total.Add(w.Capacity)
		var onWorker model.Resources
		for _, run := range w.runs {
			onWorker = onWorker.Add(run.usage())
		}
		used = used.Add(minResources(onWorker, w.Capacity))
	}
	unfinished := sim.unfinishedJobs[:0]
	for _, j := range sim.unfinishedJobs {
		n := sim.unfinishedTasks(j)
		if n == 0 {
			continue
		}
		unfinished = append(unfinished, j)
		demand[j.arrival.actualSize] += n
		for range n {
			demanded = demanded.Add(j.arrival.actualSize)
		}
	}
	sim.unfinishedJobs = unfinished
	packed := baseline.Pack(capacities, demand)
	if packed == demanded {
		return
	}
	r.samples++
	r.packingSum += bottleneckRatio(used, packed, total)
}

// unfinishedTasks returns the number of the job's tasks that are running or may still run. For a
// job with failed runs, the Decider determines which tasks may run again.
func (sim *simulation) unfinishedTasks(j *simJob) int {
	if j.finishedTasks >= len(j.tasks) {
		return 0
	}
	if j.failed {
		e, _ := sim.decider.Explain(j.arrival.job.ID)
		return e.Waiting + e.Running
	}
	return len(j.tasks) - j.finishedTasks
}

// bottleneckRatio returns the ratio of used to packed in the resource, CPU or memory, of which the
// packer uses the larger share.
func bottleneckRatio(used, packed, total model.Resources) float64 {
	cpu := float64(packed.MilliCPU) / float64(total.MilliCPU)
	memory := float64(packed.MemoryMiB) / float64(total.MemoryMiB)
	if cpu >= memory {
		return float64(used.MilliCPU) / float64(packed.MilliCPU)
	}
	return float64(used.MemoryMiB) / float64(packed.MemoryMiB)
}

// recordRemaining records, at the end of the scenario, the waits of tasks that never started,
// whether deadlines were met, and the work of unfinished runs. Waits and deadlines of jobs that
// the scenario cancels are not recorded.
func (r *result) recordRemaining(sim *simulation) {
	for _, j := range sim.jobs {
		job := j.arrival.job
		if !j.arrival.cancelAt.IsZero() {
			continue
		}
		for _, t := range j.tasks {
			if !t.started {
				r.recordWait(j.arrival, sim.now)
			}
		}
		if !job.Deadline.IsZero() && job.Deadline.Before(sim.now) {
			r.branchOf[job.ID] = job.Branch
			r.metDeadline[job.ID] = !j.doneAt.IsZero() && !j.doneAt.After(job.Deadline)
		}
	}
	for _, w := range sim.simWorkers {
		for _, run := range w.runs {
			r.usefulCoreSeconds += run.workSeconds * float64(run.task.arrival.actualSize.MilliCPU) / 1000
		}
	}
}

// deadlinesMet returns the number of jobs that met their deadline.
func (r *result) deadlinesMet() int {
	n := 0
	for _, ok := range r.metDeadline {
		if ok {
			n++
		}
	}
	return n
}

// deadlinesMetExcept returns the number of jobs that met their deadline and the number of jobs
// with a deadline, without those of one branch.
func (r *result) deadlinesMetExcept(branch model.BranchID) (met, due int) {
	for id, ok := range r.metDeadline {
		if r.branchOf[id] == branch {
			continue
		}
		due++
		if ok {
			met++
		}
	}
	return met, due
}

// missedButMetBy returns the number of jobs that missed their deadline but met it with the other
// Decider.
func (r *result) missedButMetBy(other *result) int {
	n := 0
	for id, ok := range r.metDeadline {
		if !ok && other.metDeadline[id] {
			n++
		}
	}
	return n
}
