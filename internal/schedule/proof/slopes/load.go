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
	branchCount     = 260 // the target's teams
	domainCount     = 9
	rackSize        = 8
	tasksPerJob     = 10
	runsPerRound    = 50 // runs that end between two calls of Decide
	warmupRounds    = 50
	measuredRounds  = 400
	decideLimit     = 1000
	roundInterval   = 100 * time.Millisecond
	maxDecideTime   = 10 * time.Second
	histogramDigits = 3
)

// cost is the time spent in each call and how many events it served.
type eventCosts struct {
	submit, confirm, observe, finish time.Duration
	decisions, submits, finishes     int
}

// load keeps a scheduler's cluster full and its queue at a length.
type loadGenerator struct {
	scheduler       *schedule.Scheduler
	rng             *rand.Rand
	now             time.Time
	jobCount        int
	running         []schedule.Placement
	runningIndex    map[model.TaskID]int // in running
	cost            eventCosts
	decideTimes     *hdrhistogram.Histogram // nanoseconds of a call of Decide
	timePerDecision *hdrhistogram.Histogram // nanoseconds of a call for each of its decisions
}

func newLoadGenerator(workers int) *loadGenerator {
	l := &loadGenerator{
		scheduler:       schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(1, 1))),
		rng:             rand.New(rand.NewPCG(1, 2)),
		now:             time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC),
		runningIndex:    make(map[model.TaskID]int),
		decideTimes:     newHistogram(),
		timePerDecision: newHistogram(),
	}
	var branches []model.Branch
	for i := range branchCount {
		branches = append(branches, model.Branch{ID: branchID(i), Share: int64(1 + i%5)})
	}
	l.scheduler.SetBranches(l.now, branches)
	l.addWorkers(workers)
	return l
}

func (l *loadGenerator) addWorkers(workers int) {
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
	return hdrhistogram.New(1, maxDecideTime.Nanoseconds(), histogramDigits)
}

func branchID(i int) model.BranchID { return model.BranchID(fmt.Sprintf("b%03d", i)) }

// submitTasks queues at least so many tasks, in jobs of several workloads of each branch.
func (l *loadGenerator) submitTasks(tasks int) {
	for ; tasks > 0; tasks -= tasksPerJob {
		kind := l.jobCount % 4
		j := model.Job{
			ID:          model.JobID(fmt.Sprintf("p~%d", l.jobCount)),
			Branch:      branchID(l.jobCount % branchCount),
			Workload:    model.WorkloadID(fmt.Sprintf("w%d", kind)),
			Kind:        model.KindBatch,
			Tier:        model.TierNormal,
			Tasks:       tasksPerJob,
			Size:        model.Resources{MilliCPU: int64(1000 * (1 + kind)), MemoryMiB: int64(4096 * (1 + kind%3))},
			Runtime:     time.Minute,
			Submitted:   l.now,
			Restartable: true,
		}
		l.jobCount++
		startedAt := time.Now()
		l.scheduler.Submit(l.now, j)
		l.cost.submit += time.Since(startedAt)
		l.cost.submits++
	}
}

// fill submits and places until the cluster has no room left.
func (l *loadGenerator) fillCluster() {
	for before := -1; len(l.running) > before; {
		before = len(l.running)
		l.submitTasks(decideLimit)
		l.decide()
	}
}

// decide calls Decide and confirms what it places.
func (l *loadGenerator) decide() int {
	startedAt := time.Now()
	decisions := l.scheduler.Decide(l.now, decideLimit)
	elapsed := time.Since(startedAt)
	l.cost.decisions += len(decisions)
	// The range holds every call.
	_ = l.decideTimes.RecordValue(elapsed.Nanoseconds())
	_ = l.timePerDecision.RecordValue(elapsed.Nanoseconds() / int64(max(len(decisions), 1)))
	for _, d := range decisions {
		if d.Action != schedule.ActionPlace {
			l.removeRunning(l.runningIndex[d.Task])
			l.scheduler.Finish(l.now, d.Task, model.OutcomePreempted)
			continue
		}
		l.runningIndex[d.Task] = len(l.running)
		l.running = append(l.running, schedule.Placement{Task: d.Task, Worker: d.Worker, Size: d.Size})
		startedAt := time.Now()
		l.scheduler.Confirm(l.now, d.Task)
		l.cost.confirm += time.Since(startedAt)
	}
	return len(decisions)
}

// steady plays rounds on each load in turn, so that what else the machine does meets all alike.
func runRounds(loads []*loadGenerator) {
	for round := range warmupRounds + measuredRounds {
		for _, l := range loads {
			if round == warmupRounds {
				l.cost = eventCosts{}
				l.decideTimes.Reset()
				l.timePerDecision.Reset()
			}
			l.runRound()
		}
	}
}

// round ends some runs, submits as many tasks and decides.
func (l *loadGenerator) runRound() {
	l.now = l.now.Add(roundInterval)
	for range runsPerRound {
		l.finishRandomRun()
	}
	l.submitTasks(runsPerRound)
	l.decide()
}

// take removes a running task from the list.
func (l *loadGenerator) removeRunning(i int) schedule.Placement {
	p, last := l.running[i], l.running[len(l.running)-1]
	l.running[i] = last
	l.runningIndex[last.Task] = i
	l.running = l.running[:len(l.running)-1]
	delete(l.runningIndex, p.Task)
	return p
}

// endOne reports a random run's use and end.
func (l *loadGenerator) finishRandomRun() {
	p := l.removeRunning(l.rng.IntN(len(l.running)))
	startedAt := time.Now()
	l.scheduler.Observe(l.now, schedule.Usage{Task: p.Task, Worker: p.Worker, Used: p.Size, RunTime: time.Minute})
	observedAt := time.Now()
	l.scheduler.Finish(l.now, p.Task, model.OutcomeDone)
	l.cost.observe += observedAt.Sub(startedAt)
	l.cost.finish += time.Since(observedAt)
	l.cost.finishes++
}
