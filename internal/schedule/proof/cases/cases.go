package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertcross/internal/model"
)

// Names of the cases as printed in the tables.
const (
	caseDay               = "ordinary day x10"
	caseFlood             = "one branch floods"
	caseUrgentFlood       = "one branch floods urgent work"
	caseWrongSizes        = "sizes off up to 5x"
	caseFaultyWorkers     = "a fifth of workers bad"
	caseCancellationWaves = "cancellation waves"
	caseRackOutage        = "a rack lost"
	caseLargeGangs        = "gang above a domain"
	caseLeavingWorkers    = "workers leaving"
)

// buildScenarios builds the scenarios of all cases of a cluster from one seed.
func buildScenarios(c clusterSpec, seed uint64) []*scenario {
	build := func(name string, change func(*scenario, *rand.Rand)) *scenario {
		s := newDayScenario(name, c, seed)
		change(s, rand.New(rand.NewPCG(seed, 1)))
		s.sortArrivals()
		return s
	}
	return []*scenario{
		build(caseDay, func(*scenario, *rand.Rand) {}),
		build(caseFlood, func(s *scenario, rng *rand.Rand) { addFlood(s, rng, model.TierNormal, model.TierLow) }),
		build(caseUrgentFlood, func(s *scenario, rng *rand.Rand) { addFlood(s, rng, model.TierUrgent) }),
		build(caseWrongSizes, declareWrongSizes),
		build(caseFaultyWorkers, markFaultyWorkers),
		build(caseCancellationWaves, addCancellationWaves),
		build(caseRackOutage, addRackOutage),
		build(caseLargeGangs, addLargeGangs),
		build(caseLeavingWorkers, addWorkerReplacements),
	}
}

// addFlood makes the first branch offer five times the load that all branches together offer in
// the given tiers, in addition to its own.
func addFlood(s *scenario, rng *rand.Rand, tiers ...model.Tier) {
	s.floodBranch = s.branches[0].ID
	for _, st := range s.spec.streams {
		if slices.Contains(tiers, st.workload.Tier) {
			s.addStream(rng, st, s.floodBranch, 5*st.cpuLoad)
		}
	}
}

// declareWrongSizes multiplies or divides the declared CPU, memory and runtime of each branch's
// workloads by random factors of up to five.
func declareWrongSizes(s *scenario, rng *rand.Rand) {
	type key struct {
		branch   model.BranchID
		workload model.WorkloadID
	}
	factors := make(map[key][3]float64)
	drawFactor := func() float64 { return math.Pow(5, 2*rng.Float64()-1) }
	for _, a := range s.arrivals {
		k := key{a.job.Branch, a.job.Workload}
		if _, ok := factors[k]; !ok {
			factors[k] = [3]float64{drawFactor(), drawFactor(), drawFactor()}
		}
		f := factors[k]
		a.job.Size.MilliCPU = min(scale(a.actualSize.MilliCPU, f[0]), s.spec.capacity.MilliCPU)
		a.job.Size.MemoryMiB = min(scale(a.actualSize.MemoryMiB, f[1]), s.spec.capacity.MemoryMiB)
		a.job.Runtime = time.Duration(scale(int64(a.job.Runtime), f[2]))
	}
}

func scale(v int64, factor float64) int64 { return int64(float64(v) * factor) }

// markFaultyWorkers makes a fifth of the workers faulty.
func markFaultyWorkers(s *scenario, _ *rand.Rand) {
	for i, w := range s.workers {
		if i%faultyWorkerInterval == faultyWorkerInterval-1 {
			s.faulty[w.ID] = true
		}
	}
}

// addCancellationWaves submits 10,000 tasks three times and cancels them 20 s later.
func addCancellationWaves(s *scenario, _ *rand.Rand) {
	const jobs, tasks = 1000, 10
	st := s.spec.streams[0]
	st.workload.ID = "wave"
	st.workload.Tier = model.TierNormal
	st.workload.Tasks = tasks
	st.workload.Deadline = 0
	for wave := 1; wave <= 3; wave++ {
		at := scenarioStart.Add(time.Duration(wave) * 4 * time.Minute)
		for range jobs {
			a := s.addArrival(st, s.branches[1].ID, at)
			a.cancelAt = at.Add(20 * time.Second)
		}
	}
}

// addRackOutage makes the workers of the first rack fail for five minutes.
func addRackOutage(s *scenario, _ *rand.Rand) {
	o := outage{at: scenarioStart.Add(9 * time.Minute), until: scenarioStart.Add(14 * time.Minute)}
	for i := range s.spec.rackSize {
		o.workers = append(o.workers, i)
	}
	s.outages = append(s.outages, o)
}

// addWorkerReplacements replaces half of the workers one after the other, with one minute's
// notice. Each replaced worker is down for a minute.
func addWorkerReplacements(s *scenario, _ *rand.Rand) {
	const notice = time.Minute
	for i := range s.spec.workers / 2 {
		at := scenarioStart.Add(2*time.Minute + time.Duration(i)*30*time.Second)
		s.outages = append(s.outages, outage{
			at:      at,
			until:   at.Add(time.Minute),
			notice:  notice,
			workers: []int{i * 2},
		})
	}
}

// addLargeGangs submits two gangs that need 1.5 times the CPU of a failure domain.
func addLargeGangs(s *scenario, _ *rand.Rand) {
	cores := s.spec.capacity.MilliCPU / 4
	perDomain := (s.spec.workers + s.spec.domains - 1) / s.spec.domains
	for i := range 2 {
		at := scenarioStart.Add(time.Duration(4+5*i) * time.Minute)
		a := s.addArrival(stream{
			workload: model.Workload{
				ID:       model.WorkloadID(fmt.Sprintf("large-%d", i)),
				Kind:     model.KindGang,
				Tier:     model.TierHigh,
				Tasks:    perDomain * 6,
				Size:     model.Resources{MilliCPU: cores, MemoryMiB: s.spec.capacity.MemoryMiB / 8},
				Runtime:  time.Minute,
				Deadline: 6 * time.Minute,
			},
			actualRuntime: time.Minute,
		}, s.branches[2].ID, at)
		a.job.Tier = model.TierHigh
	}
}
