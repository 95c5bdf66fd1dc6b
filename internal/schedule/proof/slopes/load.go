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
	branchCount     = 260 // teams in the target deployment
	domainCount     = 9
	rackSize        = 8
	tasksPerJob     = 10
	runsPerRound    = 50 // runs that finish, and tasks submitted, between two calls of Decide
	warmupRounds    = 50
	measuredRounds  = 400
	decideLimit     = 1000
	roundInterval   = 100 * time.Millisecond
	maxDecideTime   = 10 * time.Second
	histogramDigits = 3
)

// eventCosts holds the total time spent in each method and the number of events.
type eventCosts struct {
	submit, confirm, observe, finish time.Duration
	decisions, submits, finishes     int
}

// loadGenerator keeps a scheduler's cluster full and the length of its queue constant.
type loadGenerator struct {
	scheduler       *schedule.Scheduler
	rng             *rand.Rand
	now             time.Time
	jobCount        int
	running         []schedule.Placement
	runningIndex    map[model.TaskID]int // positions in running
	cost            eventCosts
	decideTimes     *hdrhistogram.Histogram // nanoseconds for each call of Decide
	timePerDecision *hdrhistogram.Histogram // nanoseconds of a call divided by its decisions
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

// submitTasks submits jobs with at least the given number of tasks in total. Each branch has
// jobs of several workloads.
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

// fillCluster submits and places tasks until no further task fits.
func (l *loadGenerator) fillCluster() {
	for before := -1; len(l.running) > before; {
		before = len(l.running)
		l.submitTasks(decideLimit)
		l.decide()
	}
}

// decide calls Decide once and confirms the placements. It finishes the tasks of all other
// decisions as preempted. It returns the number of decisions.
func (l *loadGenerator) decide() int {
	startedAt := time.Now()
	decisions := l.scheduler.Decide(l.now, decideLimit)
	elapsed := time.Since(startedAt)
	l.cost.decisions += len(decisions)
	// RecordValue can't fail: the histogram's range covers every call.
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

// runRounds runs the rounds of all load generators in turn, so that other activity on the machine
// affects all of them alike. Warm-up rounds are not measured.
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

// runRound finishes some runs, submits as many tasks and calls Decide.
func (l *loadGenerator) runRound() {
	l.now = l.now.Add(roundInterval)
	for range runsPerRound {
		l.finishRandomRun()
	}
	l.submitTasks(runsPerRound)
	l.decide()
}

// removeRunning removes the running task at index i from the list and returns it.
func (l *loadGenerator) removeRunning(i int) schedule.Placement {
	p, last := l.running[i], l.running[len(l.running)-1]
	l.running[i] = last
	l.runningIndex[last.Task] = i
	l.running = l.running[:len(l.running)-1]
	delete(l.runningIndex, p.Task)
	return p
}

// finishRandomRun reports the usage and the end of a random run.
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
