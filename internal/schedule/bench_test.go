package schedule

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertcross/internal/model"
)

// benchWaiting is the number of waiting tasks in the benchmarks.
const benchWaiting = 100_000

// benchScheduler returns a scheduler whose workers are full of batch tasks of 20 branches,
// with about benchWaiting more tasks waiting in jobs of ten, and the running tasks.
func benchScheduler(workers int) (*Scheduler, []model.TaskID) {
	s := New(DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	var branches []model.Branch
	for n := range 20 {
		branches = append(branches, model.Branch{ID: branchName(n), Share: int64(1 + n%3)})
	}
	s.SetBranches(epoch, branches)
	for n := range workers {
		s.UpsertWorker(epoch, Worker{
			ID: model.WorkerID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n/8),
			FailureDomain: model.FailureDomain(fmt.Sprint("d", n*9/workers)),
			Capacity:      model.Resources{MilliCPU: 64_000, MemoryMiB: 128 << 10, Accelerators: int64(n % 2)},
		})
	}
	for n := range (benchWaiting + 20*workers) / 10 {
		s.Submit(epoch, benchJob(n))
	}
	return s, fillCluster(s)
}

func branchName(n int) model.BranchID { return model.BranchID(fmt.Sprint("b", n)) }

// benchJob returns a job of one of 100 workloads, with tasks of 2 to 8 cores.
func benchJob(n int) model.Job {
	return model.Job{
		ID: model.JobID(fmt.Sprint("j", n)), Branch: branchName(n % 20), Kind: model.KindBatch,
		Workload: model.WorkloadID(fmt.Sprint("wl", n%100)), Tier: model.TierNormal, Tasks: 10,
		Size:    model.Resources{MilliCPU: int64(2000 * (1 + n%4)), MemoryMiB: int64(4096 * (1 + n/4%3))},
		Runtime: time.Hour, Submitted: epoch.Add(time.Duration(n)), Restartable: true,
	}
}

// fillCluster places tasks until nothing fits and returns the running tasks.
func fillCluster(s *Scheduler) []model.TaskID {
	var running []model.TaskID
	for {
		decisions := s.Decide(epoch, 1000)
		if len(decisions) == 0 {
			return running
		}
		for _, d := range decisions {
			s.Confirm(epoch, d.Task)
			running = append(running, d.Task)
		}
	}
}

// BenchmarkDecide measures a Decide call after one task of a full cluster has finished, with
// benchWaiting tasks waiting.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 500, 3700} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, running := benchScheduler(workers)
			rng := rand.New(rand.NewPCG(3, 4))
			placed, refill := 0, 1_000_000
			times := hdrhistogram.New(1, int64(time.Second), 3) // nanoseconds
			for b.Loop() {
				index := rng.IntN(len(running))
				s.Finish(epoch, running[index], model.OutcomeDone)
				running[index] = running[len(running)-1]
				running = running[:len(running)-1]
				before := time.Now()
				decisions := s.Decide(epoch, 100)
				_ = times.RecordValue(time.Since(before).Nanoseconds())
				for _, d := range decisions {
					s.Confirm(epoch, d.Task)
					running = append(running, d.Task)
					placed++
				}
				if s.waiting < benchWaiting {
					s.Submit(epoch, benchJob(refill))
					refill++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(placed, 1)), "ns/placement")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns/Decide")
		})
	}
}

// BenchmarkUrgent measures the preemptions and the placement for one urgent task on a full
// cluster.
func BenchmarkUrgent(b *testing.B) {
	for _, workers := range []int{50, 500, 3700} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, _ := benchScheduler(workers)
			n := 2_000_000
			for b.Loop() {
				n++
				urgent := benchJob(n)
				urgent.Tier, urgent.Tasks = model.TierUrgent, 1
				s.Submit(epoch, urgent)
				for s.jobs[urgent.ID].done == 0 {
					for _, d := range s.Decide(epoch, 100) {
						executeDecision(s, d)
					}
				}
			}
		})
	}
}

// executeDecision carries out a preemption or confirms a placement, and finishes urgent tasks.
func executeDecision(s *Scheduler, d Decision) {
	switch {
	case d.Action == ActionPreempt:
		s.Finish(epoch, d.Task, model.OutcomePreempted)
	case s.jobs[d.Job].Tier == model.TierUrgent:
		s.Confirm(epoch, d.Task)
		s.Finish(epoch, d.Task, model.OutcomeDone)
	default:
		s.Confirm(epoch, d.Task)
	}
}

// BenchmarkDecideIdle measures a Decide call that places nothing, with benchWaiting tasks
// waiting.
func BenchmarkDecideIdle(b *testing.B) {
	s, _ := benchScheduler(3700)
	for b.Loop() {
		s.Decide(epoch, 100)
	}
}

// BenchmarkCancelWave measures the cancellation of 10,000 waiting jobs and the start of an
// urgent job right after it.
func BenchmarkCancelWave(b *testing.B) {
	const canceledJobs = 10_000
	var canceling, starting time.Duration
	count := 0
	for b.Loop() {
		b.StopTimer()
		s, _ := benchScheduler(500)
		urgent := benchJob(2_000_000)
		urgent.Tier, urgent.Tasks = model.TierUrgent, 1
		ids := make([]model.JobID, canceledJobs)
		for n := range ids {
			ids[n] = benchJob(1000 + n).ID
		}
		b.StartTimer()
		before := time.Now()
		for _, id := range ids {
			s.Cancel(epoch, id)
		}
		canceledAt := time.Now()
		s.Submit(epoch, urgent)
		if decisions := s.Decide(epoch, 100); len(decisions) == 0 {
			b.Fatal("Decide returned no decision for the urgent job after the cancellations")
		}
		canceling += canceledAt.Sub(before)
		starting += time.Since(canceledAt)
		count++
	}
	b.ReportMetric(float64(canceling.Nanoseconds())/float64(count*canceledJobs), "ns/cancel")
	b.ReportMetric(float64(starting.Nanoseconds())/float64(count), "ns/urgent-after-wave")
}

// BenchmarkMemory reports the scheduler's memory in bytes for each waiting task, in jobs of one
// and of ten tasks, and for each worker.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		s := New(DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
		s.UpsertWorker(epoch, Worker{ID: "w", Capacity: model.Resources{MilliCPU: 64_000, MemoryMiB: 1 << 17}})
		for _, tasks := range []int{1, 10} {
			before := heapBytes()
			for n := range benchWaiting / tasks {
				j := benchJob(n)
				j.ID += model.JobID(fmt.Sprint("/", tasks))
				j.Tasks = tasks
				s.Submit(epoch, j)
			}
			b.ReportMetric((heapBytes()-before)/benchWaiting, fmt.Sprint("B/task-in-jobs-of-", tasks))
		}
		before := heapBytes()
		for n := range 3700 {
			s.UpsertWorker(epoch, Worker{
				ID: model.WorkerID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n/8), FailureDomain: "d",
				Capacity: model.Resources{MilliCPU: 64_000, MemoryMiB: 1 << 17},
			})
		}
		b.ReportMetric((heapBytes()-before)/3700, "B/worker")
		runtime.KeepAlive(s)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
