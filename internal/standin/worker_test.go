package standin

import (
	"testing"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// A throttled task reports no more processor time than its limit.
func TestThrottleLimitsReportedUsage(t *testing.T) {
	w := NewWorker(WorkerOptions{ID: "w1", Capacity: model.Resources{MilliCPU: 4000, MemoryMiB: 100}})
	ref := platform.TaskRef{Task: "t", Attempt: 1}
	size := model.Resources{MilliCPU: 2000, MemoryMiB: 10}
	start := platform.StartRequest{Task: ref.Task, Attempt: ref.Attempt, Boot: w.boot, LeaseUntil: w.clockNow() + 1e12, Size: size}
	if r := w.startTask(platform.WorkerRequest{Start: &start}); r.ErrorCode != "" {
		t.Fatalf("start: %+v", r)
	}
	w.throttleTasks(platform.WorkerRequest{Refs: []platform.TaskRef{ref}, Limit: model.Resources{MilliCPU: 500, MemoryMiB: 10}})
	got := w.buildReport(platform.WorkerRequest{}).Report.Tasks[0].Used
	if want := (model.Resources{MilliCPU: 500, MemoryMiB: 10}); got != want {
		t.Errorf("used %v, want %v", got, want)
	}
}
