package main

import (
	"fmt"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/proof"
)

// Times of the fakes.
const (
	tick         = 200 * time.Millisecond // between two calls of Decide; a commit takes one
	decideLimit  = 1000
	reportLag    = 15 * time.Second // age at which a run's first usage report arrives
	reportEvery  = time.Minute
	checkpoint   = 2 * time.Second  // from the command to the end of the run; this work is lost
	failAfter    = time.Second      // a run on a bad worker
	leaseHorizon = 15 * time.Second // from a worker's silence to the proof that its tasks ended
)

// run is a task's copy on a worker.
type run struct {
	task      *taskFacts
	worker    *host
	granted   model.Resources
	limit     model.Resources // zero: not throttled
	started   time.Time
	done      float64   // seconds of work at full speed in this run
	grown     bool      // past reportLag: uses its true size
	reported  time.Time // last usage report
	stopAt    time.Time // end after a command; zero: none
	stopAs    model.Outcome
	confirmed bool
}

// use is what the run takes from its worker.
func (r *run) use() model.Resources {
	use := r.task.arrival.trueSize
	if !r.grown && !use.FitsIn(r.granted) {
		use = smaller(use, r.granted)
	}
	if !r.limit.IsZero() {
		use = smaller(use, r.limit)
	}
	return use
}

func smaller(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// host is a fake worker.
type host struct {
	schedule.Worker
	bad  bool
	gone bool
	runs []*run
}

// jobFacts is the truth about a submitted job.
type jobFacts struct {
	arrival *arrival
	tasks   map[model.TaskID]*taskFacts
	ended   int
	failed  bool
	doneAt  time.Time
}

// taskFacts is the truth about a task.
type taskFacts struct {
	*jobFacts
	id      model.TaskID
	kept    float64 // seconds of work kept by checkpoints
	started bool    // once
	run     *run
}

// cluster plays one scenario against one Decider, with a clock of its own.
type cluster struct {
	*scenario
	decider *proof.Oracle
	now     time.Time
	hosts   map[model.WorkerID]*host
	order   []*host
	jobs    []*jobFacts
	open    []*jobFacts // not ended at the last sample
	byJob   map[model.JobID]*jobFacts
	cancels []*jobFacts // in order of time
	next    int         // arrival not yet submitted
	result  *result
}

func newCluster(s *scenario, d schedule.Decider, r *result) *cluster {
	c := &cluster{
		scenario: s,
		decider:  proof.NewOracle(d, r.violation),
		now:      scenarioStart,
		hosts:    make(map[model.WorkerID]*host),
		byJob:    make(map[model.JobID]*jobFacts),
		result:   r,
	}
	c.decider.SetBranches(c.now, s.branches)
	for _, w := range s.workers {
		h := &host{Worker: w, bad: s.bad[w.ID]}
		c.hosts[w.ID] = h
		c.order = append(c.order, h)
		c.decider.UpsertWorker(c.now, w)
	}
	return c
}

func (c *cluster) play() {
	for steps := 0; c.now.Before(c.end); steps++ {
		c.submit()
		c.cancel()
		c.fail()
		for _, h := range c.order {
			c.advance(h)
		}
		c.decide()
		if steps%sampleTicks == 0 {
			c.result.sample(c)
		}
		c.now = c.now.Add(tick)
	}
	c.result.finish(c)
}

func (c *cluster) submit() {
	for c.next < len(c.arrivals) && !c.arrivals[c.next].job.Submitted.After(c.now) {
		a := c.arrivals[c.next]
		c.next++
		j := &jobFacts{arrival: a, tasks: make(map[model.TaskID]*taskFacts)}
		for i := range a.job.Tasks {
			id := model.TaskID(fmt.Sprintf("%s/%d", a.job.ID, i))
			j.tasks[id] = &taskFacts{jobFacts: j, id: id}
		}
		c.jobs = append(c.jobs, j)
		c.open = append(c.open, j)
		c.byJob[a.job.ID] = j
		if !a.cancelAt.IsZero() {
			c.cancels = append(c.cancels, j)
		}
		c.decider.Submit(c.now, a.job)
	}
}

func (c *cluster) cancel() {
	for len(c.cancels) > 0 && !c.cancels[0].arrival.cancelAt.After(c.now) {
		j := c.cancels[0]
		c.cancels = c.cancels[1:]
		j.ended = len(j.tasks)
		c.decider.Cancel(c.now, j.arrival.job.ID)
	}
}

// at reports whether the clock passes the time in this tick.
func (c *cluster) at(t time.Time) bool {
	return !t.After(c.now) && t.After(c.now.Add(-tick))
}

func (c *cluster) fail() {
	for _, o := range c.outages {
		for _, i := range o.workers {
			h := c.order[i]
			switch {
			case o.notice > 0 && c.at(o.at.Add(-o.notice)):
				h.Leaving = true
				c.decider.UpsertWorker(c.now, h.Worker)
			case c.at(o.at):
				h.gone = true
				h.Unreachable = true
				c.decider.UpsertWorker(c.now, h.Worker)
			case c.at(o.at.Add(leaseHorizon)):
				c.bury(h)
			case c.at(o.until):
				h.gone, h.Leaving, h.Unreachable = false, false, false
				c.decider.UpsertWorker(c.now, h.Worker)
			}
		}
	}
}

// bury reports the runs of a lost worker.
func (c *cluster) bury(h *host) {
	for len(h.runs) > 0 {
		c.endRun(h.runs[0], model.OutcomeLost)
	}
	c.decider.RemoveWorker(c.now, h.ID)
}

// advance moves the runs of a worker on by a tick: one that is short of processors slows all
// its runs alike, one that is short of memory fails the run furthest above its grant.
func (c *cluster) advance(h *host) {
	if h.gone {
		return
	}
	var used model.Resources
	for _, r := range h.runs {
		used = used.Add(r.use())
	}
	for used.MemoryMiB > h.Capacity.MemoryMiB {
		victim := h.runs[0]
		for _, r := range h.runs {
			if r.use().MemoryMiB-r.granted.MemoryMiB > victim.use().MemoryMiB-victim.granted.MemoryMiB {
				victim = r
			}
		}
		used = used.Sub(victim.use())
		c.endRun(victim, model.OutcomeFailed)
	}
	speed := min(1, float64(h.Capacity.MilliCPU)/float64(max(used.MilliCPU, 1)))
	for i := len(h.runs) - 1; i >= 0; i-- {
		c.step(h.runs[i], speed)
	}
}

func (c *cluster) step(r *run, speed float64) {
	if !r.confirmed {
		r.confirmed = true
		r.started = c.now
		c.decider.Confirm(c.now, r.task.id)
		c.result.start(c, r)
	}
	truth := r.task.arrival
	use := r.use()
	r.done += tick.Seconds() * speed * float64(use.MilliCPU) / float64(truth.trueSize.MilliCPU)
	age := c.now.Sub(r.started)
	r.grown = age >= reportLag
	switch {
	case !r.stopAt.IsZero() && !c.now.Before(r.stopAt):
		c.endRun(r, r.stopAs)
	case r.worker.bad && age >= failAfter:
		c.endRun(r, model.OutcomeFailed)
	case truth.trueRun > 0 && r.task.kept+r.done >= truth.trueRun.Seconds():
		c.endRun(r, model.OutcomeDone)
	case r.grown && c.now.Sub(r.reported) >= reportEvery:
		r.reported = c.now
		c.decider.Observe(c.now, schedule.Usage{Task: r.task.id, Worker: r.worker.ID, Used: use, RunTime: age})
	}
}

// endRun takes the run off its worker and reports how it ended.
func (c *cluster) endRun(r *run, outcome model.Outcome) {
	h := r.worker
	for i := range h.runs {
		if h.runs[i] == r {
			h.runs = append(h.runs[:i], h.runs[i+1:]...)
			break
		}
	}
	if !r.confirmed {
		c.decider.Confirm(c.now, r.task.id)
	}
	t := r.task
	t.run = nil
	c.result.end(c, r, outcome)
	switch outcome {
	case model.OutcomeDone:
		t.ended++
		if t.ended == len(t.tasks) && t.doneAt.IsZero() {
			t.doneAt = c.now
		}
	case model.OutcomePreempted:
		t.kept += max(0, r.done-checkpoint.Seconds())
	case model.OutcomeFailed:
		t.failed = true
	}
	c.decider.Finish(c.now, t.id, outcome)
}

func (c *cluster) decide() {
	for _, d := range c.decider.Decide(c.now, decideLimit) {
		t := c.byJob[d.Job].tasks[d.Task]
		switch d.Action {
		case schedule.ActionPlace, schedule.ActionProbe:
			h := c.hosts[d.Worker]
			t.run = &run{task: t, worker: h, granted: d.Size}
			h.runs = append(h.runs, t.run)
		case schedule.ActionThrottle:
			t.run.limit = d.Limit
		case schedule.ActionStop:
			t.run.stopAt, t.run.stopAs = c.now, model.OutcomeCanceled
		default:
			t.run.stopAt, t.run.stopAs = c.now.Add(checkpoint), model.OutcomePreempted
		}
		c.result.decision(d)
	}
}
