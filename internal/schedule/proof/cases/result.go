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
	sampleTicks     = 25 // ticks between two samples of the packing
	histogramDigits = 3
	medianPercent   = 50
	tailPercent     = 99
)

// waitKey selects the tasks of one histogram.
type waitKey struct {
	branch model.BranchID
	tier   model.Tier
}

// result is what one Decider reached in one scenario.
type result struct {
	decider     string
	waits       map[waitKey]*hdrhistogram.Histogram // milliseconds to the first start
	actions     map[schedule.Action]int
	starts      int
	badStarts   int
	messages    int     // decisions, confirmations, ends of runs
	useful      float64 // core seconds of runs that were kept
	lost        float64 // core seconds of runs that were not
	packing     float64 // sum of the samples
	samples     int
	due         map[model.JobID]bool // jobs whose deadline fell within the scenario: met
	owner       map[model.JobID]model.BranchID
	violations  int
	firstBroken *proof.Violation
}

func newResult(decider string) *result {
	return &result{
		decider: decider,
		waits:   make(map[waitKey]*hdrhistogram.Histogram),
		actions: make(map[schedule.Action]int),
		due:     make(map[model.JobID]bool),
		owner:   make(map[model.JobID]model.BranchID),
	}
}

func (r *result) violation(v *proof.Violation) {
	r.violations++
	if r.firstBroken == nil {
		r.firstBroken = v
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, scenarioLength.Milliseconds(), histogramDigits)
}

func (r *result) waited(a *arrival, until time.Time) {
	k := waitKey{a.job.Branch, a.job.Tier}
	if r.waits[k] == nil {
		r.waits[k] = newHistogram()
	}
	wait := until.Sub(a.job.Submitted).Milliseconds()
	// The range holds every wait of a scenario.
	_ = r.waits[k].RecordValue(max(wait, 0))
}

// merged joins the histograms of the selected keys.
func (r *result) merged(selected func(waitKey) bool) *hdrhistogram.Histogram {
	out := newHistogram()
	for k, h := range r.waits {
		if selected(k) {
			out.Merge(h)
		}
	}
	return out
}

func (r *result) decision(d schedule.Decision) {
	r.actions[d.Action]++
	r.messages++
}

func (r *result) start(c *cluster, run *run) {
	r.starts++
	r.messages++
	if run.worker.bad {
		r.badStarts++
	}
	if !run.task.started {
		run.task.started = true
		r.waited(run.task.arrival, c.now)
	}
}

func (r *result) end(_ *cluster, run *run, outcome model.Outcome) {
	r.messages++
	cores := float64(run.task.arrival.trueSize.MilliCPU) / 1000
	switch outcome {
	case model.OutcomeDone:
		r.useful += run.done * cores
	case model.OutcomePreempted:
		lost := min(run.done, checkpoint.Seconds())
		r.useful += (run.done - lost) * cores
		r.lost += lost * cores
	case model.OutcomeFailed, model.OutcomeLost:
		r.lost += run.done * cores
	}
}

// sample compares what the runs use of the bottleneck resource with what an offline packer
// makes of the same work, when not all of it has room.
func (r *result) sample(c *cluster) {
	var capacities []model.Resources
	demand := make(map[model.Resources]int)
	var total, wanted, used model.Resources
	for _, h := range c.order {
		if h.gone || h.Leaving || h.bad {
			continue
		}
		capacities = append(capacities, h.Capacity)
		total = total.Add(h.Capacity)
		var here model.Resources
		for _, run := range h.runs {
			here = here.Add(run.use())
		}
		used = used.Add(smaller(here, h.Capacity))
	}
	open := c.open[:0]
	for _, j := range c.open {
		n := c.unfinished(j)
		if n == 0 {
			continue
		}
		open = append(open, j)
		demand[j.arrival.trueSize] += n
		for range n {
			wanted = wanted.Add(j.arrival.trueSize)
		}
	}
	c.open = open
	packed := baseline.Pack(capacities, demand)
	if packed == wanted {
		return
	}
	r.samples++
	r.packing += bottleneck(used, packed, total)
}

// unfinished counts the tasks of a job that run or still may.
func (c *cluster) unfinished(j *jobFacts) int {
	if j.ended >= len(j.tasks) {
		return 0
	}
	if j.failed {
		e, _ := c.decider.Explain(j.arrival.job.ID)
		return e.Waiting + e.Running
	}
	return len(j.tasks) - j.ended
}

// bottleneck returns used over packed in the resource that the packer fills most.
func bottleneck(used, packed, total model.Resources) float64 {
	cpu := float64(packed.MilliCPU) / float64(total.MilliCPU)
	memory := float64(packed.MemoryMiB) / float64(total.MemoryMiB)
	if cpu >= memory {
		return float64(used.MilliCPU) / float64(packed.MilliCPU)
	}
	return float64(used.MemoryMiB) / float64(packed.MemoryMiB)
}

// finish counts what is left at the end: tasks that never started have waited until then.
func (r *result) finish(c *cluster) {
	for _, j := range c.jobs {
		job := j.arrival.job
		if !j.arrival.cancelAt.IsZero() {
			continue
		}
		for _, t := range j.tasks {
			if !t.started {
				r.waited(j.arrival, c.now)
			}
		}
		if !job.Deadline.IsZero() && job.Deadline.Before(c.now) {
			r.owner[job.ID] = job.Branch
			r.due[job.ID] = !j.doneAt.IsZero() && !j.doneAt.After(job.Deadline)
		}
	}
	for _, h := range c.order {
		for _, run := range h.runs {
			r.useful += run.done * float64(run.task.arrival.trueSize.MilliCPU) / 1000
		}
	}
}

// met counts the jobs in time.
func (r *result) met() int {
	n := 0
	for _, ok := range r.due {
		if ok {
			n++
		}
	}
	return n
}

// metWithout counts the jobs in time and all jobs due, but for one branch's.
func (r *result) metWithout(branch model.BranchID) (met, due int) {
	for id, ok := range r.due {
		if r.owner[id] == branch {
			continue
		}
		due++
		if ok {
			met++
		}
	}
	return met, due
}

// savedBy counts the jobs late here that the other Decider finished in time.
func (r *result) savedBy(other *result) int {
	n := 0
	for id, ok := range r.due {
		if !ok && other.due[id] {
			n++
		}
	}
	return n
}
