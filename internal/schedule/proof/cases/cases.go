package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertcross/internal/model"
)

// Names of the cases.
const (
	caseDay     = "ordinary day x10"
	caseFlood   = "one branch floods"
	caseUrgent  = "one branch floods urgent work"
	caseSizes   = "sizes off up to 5x"
	caseBad     = "a fifth of workers bad"
	caseWaves   = "cancellation waves"
	caseRack    = "a rack lost"
	caseGang    = "gang above a domain"
	caseLeaving = "workers leaving"
)

// allCases builds every case of a cell from one seed.
func allCases(c cell, seed uint64) []*scenario {
	build := func(name string, change func(*scenario, *rand.Rand)) *scenario {
		s := ordinaryDay(name, c, seed)
		change(s, rand.New(rand.NewPCG(seed, 1)))
		s.sort()
		return s
	}
	return []*scenario{
		build(caseDay, func(*scenario, *rand.Rand) {}),
		build(caseFlood, func(s *scenario, rng *rand.Rand) { flood(s, rng, model.TierNormal, model.TierLow) }),
		build(caseUrgent, func(s *scenario, rng *rand.Rand) { flood(s, rng, model.TierUrgent) }),
		build(caseSizes, sizesOff),
		build(caseBad, badWorkers),
		build(caseWaves, cancellationWaves),
		build(caseRack, rackLost),
		build(caseGang, largeGang),
		build(caseLeaving, workersLeaving),
	}
}

// flood has the first branch offer five times what all branches together offer in the tiers.
func flood(s *scenario, rng *rand.Rand, tiers ...model.Tier) {
	s.flooder = s.branches[0].ID
	for _, st := range s.cell.streams {
		if slices.Contains(tiers, st.workload.Tier) {
			s.addStream(rng, st, s.flooder, 5*st.load)
		}
	}
}

// sizesOff makes sizes and run times of each branch's workloads wrong by up to five times.
func sizesOff(s *scenario, rng *rand.Rand) {
	type key struct {
		branch   model.BranchID
		workload model.WorkloadID
	}
	factors := make(map[key][3]float64)
	draw := func() float64 { return math.Pow(5, 2*rng.Float64()-1) }
	for _, a := range s.arrivals {
		k := key{a.job.Branch, a.job.Workload}
		if _, ok := factors[k]; !ok {
			factors[k] = [3]float64{draw(), draw(), draw()}
		}
		f := factors[k]
		a.job.Size.MilliCPU = min(scaled(a.trueSize.MilliCPU, f[0]), s.cell.capacity.MilliCPU)
		a.job.Size.MemoryMiB = min(scaled(a.trueSize.MemoryMiB, f[1]), s.cell.capacity.MemoryMiB)
		a.job.Runtime = time.Duration(scaled(int64(a.job.Runtime), f[2]))
	}
}

func scaled(v int64, factor float64) int64 { return int64(float64(v) * factor) }

func badWorkers(s *scenario, _ *rand.Rand) {
	for i, w := range s.workers {
		if i%badEvery == badEvery-1 {
			s.bad[w.ID] = true
		}
	}
}

// cancellationWaves submits 10,000 tasks three times and cancels them a little later.
func cancellationWaves(s *scenario, _ *rand.Rand) {
	const jobs, tasks = 1000, 10
	st := s.cell.streams[0]
	st.workload.ID = "wave"
	st.workload.Tier = model.TierNormal
	st.workload.Tasks = tasks
	st.workload.Deadline = 0
	for wave := 1; wave <= 3; wave++ {
		at := scenarioStart.Add(time.Duration(wave) * 4 * time.Minute)
		for range jobs {
			a := s.add(st, s.branches[1].ID, at)
			a.cancelAt = at.Add(20 * time.Second)
		}
	}
}

func rackLost(s *scenario, _ *rand.Rand) {
	o := outage{at: scenarioStart.Add(9 * time.Minute), until: scenarioStart.Add(14 * time.Minute)}
	for i := range s.cell.rackSize {
		o.workers = append(o.workers, i)
	}
	s.outages = append(s.outages, o)
}

// workersLeaving replaces half the workers one after the other with a minute's notice.
func workersLeaving(s *scenario, _ *rand.Rand) {
	const notice = time.Minute
	for i := range s.cell.workers / 2 {
		at := scenarioStart.Add(2*time.Minute + time.Duration(i)*30*time.Second)
		s.outages = append(s.outages, outage{
			at:      at,
			until:   at.Add(time.Minute),
			notice:  notice,
			workers: []int{i * 2},
		})
	}
}

// largeGang submits gangs half as large again as a failure domain's processors.
func largeGang(s *scenario, _ *rand.Rand) {
	cores := s.cell.capacity.MilliCPU / 4
	perDomain := (s.cell.workers + s.cell.domains - 1) / s.cell.domains
	for i := range 2 {
		at := scenarioStart.Add(time.Duration(4+5*i) * time.Minute)
		a := s.add(stream{
			workload: model.Workload{
				ID:       model.WorkloadID(fmt.Sprintf("large-%d", i)),
				Kind:     model.KindGang,
				Tier:     model.TierHigh,
				Tasks:    perDomain * 6,
				Size:     model.Resources{MilliCPU: cores, MemoryMiB: s.cell.capacity.MemoryMiB / 8},
				Runtime:  time.Minute,
				Deadline: 6 * time.Minute,
			},
			truly: time.Minute,
		}, s.branches[2].ID, at)
		a.job.Tier = model.TierHigh
	}
}
