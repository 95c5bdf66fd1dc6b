package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// clusterSpec describes a user's cluster and the workloads of its branches.
type clusterSpec struct {
	name                string
	workers             int
	rackSize            int
	domains             int
	capacity            model.Resources
	acceleratorInterval int // every n-th worker has accelerators; 0: none has
	branches            int
	streams             []stream
}

// stream is a workload that each branch submits at a given rate.
type stream struct {
	workload       model.Workload
	cpuLoad        float64       // the day's mean load of all branches together, as a fraction of the cluster's CPU
	initialJobs    int           // jobs that each branch submits at the start
	actualRuntime  time.Duration // 0: runs to the end of the scenario
	notRestartable bool          // a task that may have run is not run again
}

// arrival is a submission with the job's actual size and runtime, which the Decider doesn't know.
type arrival struct {
	job           model.Job
	actualSize    model.Resources
	actualRuntime time.Duration // at full speed; 0: runs to the end of the scenario
	cancelAt      time.Time     // zero: never
}

// outage is a period during which workers are down.
type outage struct {
	at, until time.Time
	notice    time.Duration // how long before the outage the workers are marked as leaving; 0: a failure without notice
	workers   []int         // indexes in scenario.workers
}

// scenario holds the inputs of one case, which don't depend on the Decider's decisions.
type scenario struct {
	name        string
	spec        clusterSpec
	branches    []model.Branch
	workers     []schedule.Worker
	arrivals    []*arrival // sorted by submission time
	outages     []outage
	faulty      map[model.WorkerID]bool // workers on which every run fails
	floodBranch model.BranchID          // branch that submits the flood; empty: none
	end         time.Time
}

// title returns the names of the cluster and the case.
func (s *scenario) title() string { return s.spec.name + ": " + s.name }

const (
	scenarioLength       = 20 * time.Minute
	mebibytesPerGiB      = 1024
	faultyWorkerInterval = 5 // every n-th worker is faulty
)

var scenarioStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func resources(cores float64, gibibytes, accelerators int64) model.Resources {
	return model.Resources{
		MilliCPU:     int64(cores * 1000),
		MemoryMiB:    gibibytes * mebibytesPerGiB,
		Accelerators: accelerators,
	}
}

func clusterSpecs() []clusterSpec {
	workload := func(id model.WorkloadID, kind model.Kind, tier model.Tier, tasks int, size model.Resources, runtime, deadline time.Duration) model.Workload {
		return model.Workload{ID: id, Kind: kind, Tier: tier, Tasks: tasks, Size: size, Runtime: runtime, Deadline: deadline}
	}
	return []clusterSpec{
		{
			name: "Aulaplan", workers: 50, rackSize: 8, domains: 3, capacity: resources(32, 128, 0), branches: 6,
			streams: []stream{
				{workload: workload("check", model.KindBatch, model.TierUrgent, 1, resources(1, 1, 0), 10*time.Second, 20*time.Second), cpuLoad: 0.10, actualRuntime: 8 * time.Second},
				{workload: workload("rebuild", model.KindBatch, model.TierNormal, 8, resources(4, 12, 0), 2*time.Minute, 10*time.Minute), cpuLoad: 0.35, actualRuntime: 100 * time.Second},
				{workload: workload("archive", model.KindBatch, model.TierLow, 20, resources(2, 10, 0), 3*time.Minute, 0), cpuLoad: 0.35, actualRuntime: 150 * time.Second},
				{workload: workload("sync", model.KindService, model.TierHigh, 20, resources(0.5, 2, 0), 0, 0), initialJobs: 2},
			},
		},
		{
			name: "Hoogvlucht", workers: 50, rackSize: 6, domains: 4, capacity: resources(64, 128, 0), acceleratorInterval: 5, branches: 6,
			streams: []stream{
				{workload: workload("forecast", model.KindBatch, model.TierUrgent, 1, resources(4, 6, 0), 20*time.Second, 40*time.Second), cpuLoad: 0.15, actualRuntime: 15 * time.Second},
				{workload: workload("clearance", model.KindBatch, model.TierHigh, 1, resources(1, 2, 0), 5*time.Second, time.Minute), cpuLoad: 0.02, actualRuntime: 4 * time.Second, notRestartable: true},
				{workload: workload("ensemble", model.KindGang, model.TierNormal, 8, resources(8, 16, 0), time.Minute, 12*time.Minute), cpuLoad: 0.25, actualRuntime: 50 * time.Second},
				{workload: workload("training", model.KindBatch, model.TierNormal, 2, resources(4, 16, 1), 2*time.Minute, 15*time.Minute), cpuLoad: 0.02, actualRuntime: 110 * time.Second},
				{workload: workload("reanalysis", model.KindBatch, model.TierLow, 16, resources(8, 20, 0), 4*time.Minute, 0), cpuLoad: 0.35, actualRuntime: 200 * time.Second},
				{workload: workload("watch", model.KindService, model.TierHigh, 20, resources(1, 2, 0), 0, 0), initialJobs: 2},
			},
		},
	}
}

// buildWorkers assigns the cluster's workers to racks, and the racks to failure domains.
func buildWorkers(c clusterSpec) []schedule.Worker {
	var workers []schedule.Worker
	for i := range c.workers {
		rack := i / c.rackSize
		w := schedule.Worker{
			ID:            model.WorkerID(fmt.Sprintf("w%03d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", rack%c.domains)),
			Rack:          fmt.Sprintf("r%d", rack),
			Capacity:      c.capacity,
		}
		if c.acceleratorInterval > 0 && i%c.acceleratorInterval == 0 {
			w.Capacity.Accelerators = 4
		}
		workers = append(workers, w)
	}
	return workers
}

// newDayScenario returns a scenario with the peak of the cluster's day at ten times the rate: the
// offered load rises from zero to twice the mean load of the streams and falls back to zero
// within the scenario.
func newDayScenario(name string, c clusterSpec, seed uint64) *scenario {
	s := &scenario{
		name:    name,
		spec:    c,
		workers: buildWorkers(c),
		faulty:  make(map[model.WorkerID]bool),
		end:     scenarioStart.Add(scenarioLength),
	}
	for i := range c.branches {
		id := model.BranchID(fmt.Sprintf("b%d", i))
		s.branches = append(s.branches, model.Branch{ID: id, Share: int64(1 + i%3)})
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, st := range c.streams {
		for _, b := range s.branches {
			s.addStream(rng, st, b.ID, st.cpuLoad/float64(c.branches))
		}
	}
	s.sortArrivals()
	return s
}

// addStream adds a branch's arrivals of a stream. They form a Poisson process whose rate follows
// the day's load curve; arrivals are drawn at the peak rate and thinned out.
func (s *scenario) addStream(rng *rand.Rand, st stream, branch model.BranchID, load float64) {
	w := st.workload
	for range st.initialJobs {
		s.addArrival(st, branch, scenarioStart)
	}
	if load == 0 {
		return
	}
	jobMilliCPUSeconds := float64(w.Tasks) * float64(w.Size.MilliCPU) * st.actualRuntime.Seconds()
	rate := load * float64(s.spec.capacity.MilliCPU) * float64(s.spec.workers) / jobMilliCPUSeconds // jobs a second
	for seconds := 0.0; ; {
		seconds += rng.ExpFloat64() / (2 * rate)
		if seconds >= scenarioLength.Seconds() {
			return
		}
		elapsedFraction := seconds / scenarioLength.Seconds()
		if rng.Float64() < math.Sin(elapsedFraction*math.Pi) {
			s.addArrival(st, branch, scenarioStart.Add(time.Duration(seconds*float64(time.Second))))
		}
	}
}

// addArrival appends a job of the stream to the arrivals, which must be sorted afterwards.
func (s *scenario) addArrival(st stream, branch model.BranchID, at time.Time) *arrival {
	w := st.workload
	a := &arrival{
		job: model.Job{
			ID:          model.JobID(fmt.Sprintf("p~%s-%s-%d", branch, w.ID, len(s.arrivals))),
			Branch:      branch,
			Workload:    w.ID,
			Kind:        w.Kind,
			Tier:        w.Tier,
			Tasks:       w.Tasks,
			Size:        w.Size,
			Runtime:     w.Runtime,
			Submitted:   at,
			Restartable: !st.notRestartable,
		},
		actualSize:    w.Size,
		actualRuntime: st.actualRuntime,
	}
	if w.Deadline > 0 {
		a.job.Deadline = at.Add(w.Deadline)
	}
	s.arrivals = append(s.arrivals, a)
	return a
}

func (s *scenario) sortArrivals() {
	slices.SortStableFunc(s.arrivals, func(a, b *arrival) int {
		return a.job.Submitted.Compare(b.job.Submitted)
	})
}
