package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

const (
	branchCount = 260 // the target's teams
	domainCount = 9
	rackSize    = 8
	tasksPerJob = 10
	turnover    = 50 // runs that end between two calls of Decide
	warmRounds  = 50
	rounds      = 400
	decideLimit = 1000
	roundLength = 100 * time.Millisecond
	maxCall     = 10 * time.Second
	callDigits  = 3
)

// cost is the time spent in each call and how many events it served.
type cost struct {
	submit, confirm, observe, finish time.Duration
	decisions, submits, finishes     int
}

// load keeps a scheduler's cluster full and its queue at a length.
type load struct {
	scheduler *schedule.Scheduler
	rng       *rand.Rand
	now       time.Time
	jobs      int
	running   []schedule.Placement
	position  map[model.TaskID]int // in running
	cost      cost
	calls     *hdrhistogram.Histogram // nanoseconds of a call of Decide
	each      *hdrhistogram.Histogram // nanoseconds of a call for each of its decisions
}

func newLoad(workers int) *load {
	l := &load{
		scheduler: schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(1, 1))),
		rng:       rand.New(rand.NewPCG(1, 2)),
		now:       time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC),
		position:  make(map[model.TaskID]int),
		calls:     newHistogram(),
		each:      newHistogram(),
	}
	var branches []model.Branch
	for i := range branchCount {
		branches = append(branches, model.Branch{ID: branchID(i), Share: int64(1 + i%5)})
	}
	l.scheduler.SetBranches(l.now, branches)
	l.addWorkers(workers)
	return l
}

func (l *load) addWorkers(workers int) {
	for i := range workers {
		rack := i / rackSize
		l.scheduler.UpsertWorker(l.now, schedule.Worker{
			ID:            model.WorkerID(fmt.Sprintf("w%04d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", rack%domainCount)),
			Rack:          fmt.Sprintf("r%d", rack),
			Capacity:      model.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10, Accelerators: 1},
		})
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxCall.Nanoseconds(), callDigits)
}

func branchID(i int) model.BranchID { return model.BranchID(fmt.Sprintf("b%03d", i)) }

// submitTasks queues at least so many tasks, in jobs of several workloads of each branch.
func (l *load) submitTasks(tasks int) {
	for ; tasks > 0; tasks -= tasksPerJob {
		kind := l.jobs % 4
		j := model.Job{
			ID:          model.JobID(fmt.Sprintf("p~%d", l.jobs)),
			Branch:      branchID(l.jobs % branchCount),
			Workload:    model.WorkloadID(fmt.Sprintf("w%d", kind)),
			Kind:        model.KindBatch,
			Tier:        model.TierNormal,
			Tasks:       tasksPerJob,
			Size:        model.Resources{MilliCPU: int64(1000 * (1 + kind)), MemoryMiB: int64(4096 * (1 + kind%3))},
			Runtime:     time.Minute,
			Submitted:   l.now,
			Restartable: true,
		}
		l.jobs++
		began := time.Now()
		l.scheduler.Submit(l.now, j)
		l.cost.submit += time.Since(began)
		l.cost.submits++
	}
}

// fill submits and places until the cluster has no room left.
func (l *load) fill() {
	for before := -1; len(l.running) > before; {
		before = len(l.running)
		l.submitTasks(decideLimit)
		l.decide()
	}
}

// decide calls Decide and confirms what it places.
func (l *load) decide() int {
	began := time.Now()
	decisions := l.scheduler.Decide(l.now, decideLimit)
	took := time.Since(began)
	l.cost.decisions += len(decisions)
	// The range holds every call.
	_ = l.calls.RecordValue(took.Nanoseconds())
	_ = l.each.RecordValue(took.Nanoseconds() / int64(max(len(decisions), 1)))
	for _, d := range decisions {
		if d.Action != schedule.ActionPlace {
			l.take(l.position[d.Task])
			l.scheduler.Finish(l.now, d.Task, model.OutcomePreempted)
			continue
		}
		l.position[d.Task] = len(l.running)
		l.running = append(l.running, schedule.Placement{Task: d.Task, Worker: d.Worker, Size: d.Size})
		began := time.Now()
		l.scheduler.Confirm(l.now, d.Task)
		l.cost.confirm += time.Since(began)
	}
	return len(decisions)
}

// steady plays rounds on each load in turn, so that what else the machine does meets all alike.
func steady(loads []*load) {
	for round := range warmRounds + rounds {
		for _, l := range loads {
			if round == warmRounds {
				l.cost = cost{}
				l.calls.Reset()
				l.each.Reset()
			}
			l.round()
		}
	}
}

// round ends some runs, submits as many tasks and decides.
func (l *load) round() {
	l.now = l.now.Add(roundLength)
	for range turnover {
		l.endOne()
	}
	l.submitTasks(turnover)
	l.decide()
}

// take removes a running task from the list.
func (l *load) take(i int) schedule.Placement {
	p, last := l.running[i], l.running[len(l.running)-1]
	l.running[i] = last
	l.position[last.Task] = i
	l.running = l.running[:len(l.running)-1]
	delete(l.position, p.Task)
	return p
}

// endOne reports a random run's use and end.
func (l *load) endOne() {
	p := l.take(l.rng.IntN(len(l.running)))
	began := time.Now()
	l.scheduler.Observe(l.now, schedule.Usage{Task: p.Task, Worker: p.Worker, Used: p.Size, RunTime: time.Minute})
	observed := time.Now()
	l.scheduler.Finish(l.now, p.Task, model.OutcomeDone)
	l.cost.observe += observed.Sub(began)
	l.cost.finish += time.Since(observed)
	l.cost.finishes++
}
