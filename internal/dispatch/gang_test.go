package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// newAcceleratorHarness returns a harness whose workers have 128 cores and 8 accelerators each.
func newAcceleratorHarness(t *testing.T, workers int) *harness {
	t.Helper()
	h := newHarness(t, workers)
	h.listWorkers(workers, func(_ int, e *fleet.WorkerEntry) {
		e.Capacity = model.Resources{MilliCPU: 128_000, MemoryMiB: 524_288, Accelerators: 8}
	})
	return h
}

// acceleratorTasks is a step of n tasks with the given cores and accelerators each.
func acceleratorTasks(n int, cpu, accelerators int64, estimate time.Duration) fleet.Step {
	return fleet.Step{Tasks: n, Demand: model.Resources{MilliCPU: cpu * 1000, MemoryMiB: 1024, Accelerators: accelerators}, Estimate: estimate}
}

func acceleratorGang(n int, cpu, accelerators int64, estimate time.Duration) fleet.Step {
	s := acceleratorTasks(n, cpu, accelerators, estimate)
	s.Gang = true
	return s
}

func startsOf(starts []StartCommand, job fleet.JobID) int {
	n := 0
	for _, s := range starts {
		if s.Start.Task.Job == job {
			n++
		}
	}
	return n
}

// Tasks of one accelerator each arrive before a gang whose members need whole workers
// (salnorte-fc-grown quiet-1). They are packed onto one worker, so that the gang starts at once.
func TestSingleAcceleratorsAreLeftWholeForGangs(t *testing.T) {
	h := newAcceleratorHarness(t, 4)
	h.submit("rebuild", "singles", acceleratorTasks(8, 11, 1, 3*time.Second))
	h.decide()
	used := map[model.WorkerID]int{}
	for _, s := range h.starts {
		used[s.To.ID]++
	}
	if len(h.starts) != 8 || len(used) != 1 {
		t.Fatalf("8 tasks of one accelerator run as %v, want all on one worker", used)
	}
	h.acceptStarts(h.starts)
	h.submit("quick", "gang", acceleratorGang(3, 62, 8, 4*time.Second))
	h.decide()
	if got := startsOf(h.starts, "gang"); got != 3 {
		t.Fatalf("%d members of the gang start on the three whole workers, want 3", got)
	}
}
