package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	ID       model.WorkerID
	Capacity model.Resources
	// Runtimes holds the run time of a workload's tasks; zero means until stopped.
	Runtimes map[model.WorkloadID]time.Duration
	// DefaultRuntime applies to workloads that are not in Runtimes.
	DefaultRuntime time.Duration
	// ReportLag is the run time before which reports show no resource usage of a task.
	ReportLag time.Duration
	// FailAll makes every task fail immediately after its start.
	FailAll bool
}

// Worker simulates a worker's agent. It runs tasks as timers under leases on its own
// clock and rejects calls with an epoch older than the last accepted one of the
// partition. Safe for concurrent use.
type Worker struct {
	Faults *Faults

	opts        WorkerOptions
	boot        string
	clockOrigin time.Time // zero of the worker's clock

	mu     sync.Mutex
	epochs map[model.PartitionID]int64
	tasks  map[platform.TaskRef]*taskState
	runs   []TaskRun
}

// TaskRun is one interval in which a task ran on a worker. The demo and prove compare
// these records with what the scheduler reported.
type TaskRun struct {
	Worker     model.WorkerID  `json:"worker"`
	Task       model.TaskID    `json:"task"`
	Attempt    int64           `json:"attempt"`
	Size       model.Resources `json:"size"`
	From       time.Time       `json:"from"`
	Until      time.Time       `json:"until"` // zero while the task runs
	FinalState string          `json:"end,omitempty"`
}

// taskState is a task that runs, or has finished and is not forgotten yet.
type taskState struct {
	start          platform.StartRequest
	epoch          int64
	state          platform.TaskState
	leaseUntil     platform.WorkerTime
	startedAt      time.Time
	resumedRuntime time.Duration // run time up to the checkpoint that the task resumed from
	throttleLimit  model.Resources
	runIndex       int // index into Worker.runs
}

// NewWorker returns a worker without tasks, under a new boot ID.
func NewWorker(opts WorkerOptions) *Worker {
	return &Worker{
		Faults:      &Faults{},
		opts:        opts,
		boot:        uuid.NewString(),
		clockOrigin: time.Now(),
		epochs:      map[model.PartitionID]int64{},
		tasks:       map[platform.TaskRef]*taskState{},
	}
}

// Handler returns the agent's HTTP interface, and GET /history, PUT /reboot and PUT /faults.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/report", w.httpHandler(w.buildReport))
	mux.HandleFunc("POST /v1/start", w.httpHandler(w.startTask))
	mux.HandleFunc("POST /v1/renew", w.httpHandler(w.renewLeases))
	mux.HandleFunc("POST /v1/checkpoint", w.httpHandler(w.checkpointTask))
	mux.HandleFunc("POST /v1/throttle", w.httpHandler(w.throttleTasks))
	mux.HandleFunc("POST /v1/stop", w.httpHandler(w.stopTasks))
	mux.HandleFunc("POST /v1/forget", w.httpHandler(w.forgetTasks))
	mux.HandleFunc("GET /history", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.TaskRuns()) })
	mux.HandleFunc("PUT /reboot", func(http.ResponseWriter, *http.Request) { w.Reboot() })
	mux.Handle("PUT /faults", w.Faults)
	return mux
}

// Reboot stops all tasks, discards accepted epochs and known attempts, and changes the
// boot ID.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishDueTasks()
	for _, t := range w.tasks {
		if t.state == platform.TaskRunning {
			w.finishTask(t, platform.TaskStopped, w.clockNow())
		}
	}
	w.boot = uuid.NewString()
	w.epochs = map[model.PartitionID]int64{}
	w.tasks = map[platform.TaskRef]*taskState{}
}

// TaskRuns returns a copy of all runs since the worker was created.
func (w *Worker) TaskRuns() []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishDueTasks()
	return append([]TaskRun(nil), w.runs...)
}

type callHandler func(platform.WorkerRequest) platform.WorkerResponse

func (w *Worker) httpHandler(handle callHandler) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		fault := w.Faults.sample()
		time.Sleep(fault.delay)
		if fault.down {
			panic(http.ErrAbortHandler)
		}
		var call platform.WorkerRequest
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			writeJSON(rw, http.StatusBadRequest, problemResponse(platform.WorkerErrorRefused, err.Error()))
			return
		}
		response := w.handleCall(call, handle)
		if fault.loseResponse {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, http.StatusOK, response)
	}
}

// handleCall rejects a call with a stale epoch, and records a newer epoch before it
// handles the call.
func (w *Worker) handleCall(call platform.WorkerRequest, handle callHandler) platform.WorkerResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishDueTasks()
	if accepted := w.epochs[call.Partition]; call.Epoch < accepted {
		return problemResponse(platform.WorkerErrorStaleEpoch, fmt.Sprintf("epoch %d, accepted %d", call.Epoch, accepted))
	}
	w.epochs[call.Partition] = call.Epoch
	return handle(call)
}

func problemResponse(problem platform.WorkerErrorCode, detail string) platform.WorkerResponse {
	return platform.WorkerResponse{ErrorCode: problem, Detail: detail}
}

func (w *Worker) clockNow() platform.WorkerTime {
	return platform.WorkerTime(time.Since(w.clockOrigin))
}

// finishDueTasks finishes the tasks whose lease has expired or whose run time is over;
// the caller holds mu.
func (w *Worker) finishDueTasks() {
	clock := w.clockNow()
	for _, t := range w.tasks {
		if t.state != platform.TaskRunning {
			continue
		}
		completion, completes := w.completionClock(t)
		switch {
		case completes && completion <= min(clock, t.leaseUntil):
			w.finishTask(t, w.completionState(), completion)
		case t.leaseUntil <= clock:
			w.finishTask(t, platform.TaskExpired, t.leaseUntil)
		}
	}
}

func (w *Worker) completionState() platform.TaskState {
	if w.opts.FailAll {
		return platform.TaskFailed
	}
	return platform.TaskDone
}

// completionClock returns when the task completes; false if it runs until stopped.
func (w *Worker) completionClock(t *taskState) (platform.WorkerTime, bool) {
	startedAt := platform.WorkerTime(t.startedAt.Sub(w.clockOrigin))
	if w.opts.FailAll {
		return startedAt, true
	}
	runTime, found := w.opts.Runtimes[t.start.Workload]
	if !found {
		runTime = w.opts.DefaultRuntime
	}
	if runTime == 0 {
		return 0, false
	}
	return startedAt + platform.WorkerTime(max(runTime-t.resumedRuntime, 0)), true
}

func (w *Worker) finishTask(t *taskState, state platform.TaskState, finishedAt platform.WorkerTime) {
	t.state = state
	w.runs[t.runIndex].Until = w.clockOrigin.Add(time.Duration(finishedAt))
	w.runs[t.runIndex].FinalState = string(state)
}

func (w *Worker) buildReport(call platform.WorkerRequest) platform.WorkerResponse {
	report := platform.WorkerReport{
		Worker:   w.opts.ID,
		Boot:     w.boot,
		Clock:    w.clockNow(),
		Epoch:    w.epochs[call.Partition],
		Capacity: w.opts.Capacity,
	}
	for ref, t := range w.tasks {
		report.Tasks = append(report.Tasks, w.taskReport(ref, t))
	}
	sort.Slice(report.Tasks, func(i, j int) bool { return report.Tasks[i].Task < report.Tasks[j].Task })
	return platform.WorkerResponse{Report: &report}
}

func (w *Worker) taskReport(ref platform.TaskRef, t *taskState) platform.TaskReport {
	runtime := w.totalRuntime(t)
	used := limitedUse(t.start.Size, t.throttleLimit)
	if runtime < w.opts.ReportLag {
		used = model.Resources{}
	}
	return platform.TaskReport{
		TaskRef:    ref,
		Partition:  t.start.Partition,
		Epoch:      t.epoch,
		State:      t.state,
		LeaseUntil: t.leaseUntil,
		Used:       used,
		Ran:        runtime,
		Checkpoint: t.start.Checkpoint,
	}
}

// limitedUse returns the usage of a task of the given size under its throttle limit, which
// applies to processor time only.
func limitedUse(size, limit model.Resources) model.Resources {
	size.MilliCPU = min(size.MilliCPU, limit.MilliCPU)
	return size
}

// totalRuntime includes the run time before the checkpoint that the task resumed from.
func (w *Worker) totalRuntime(t *taskState) time.Duration {
	end := w.runs[t.runIndex].Until
	if end.IsZero() {
		end = time.Now()
	}
	return t.resumedRuntime + end.Sub(t.startedAt)
}

func (w *Worker) startTask(call platform.WorkerRequest) platform.WorkerResponse {
	start := call.Start
	if start == nil {
		return problemResponse(platform.WorkerErrorRefused, "no start in the call")
	}
	ref := platform.TaskRef{Task: start.Task, Attempt: start.Attempt}
	if _, known := w.tasks[ref]; known {
		return platform.WorkerResponse{}
	}
	if start.Boot != w.boot || start.LeaseUntil <= w.clockNow() {
		return problemResponse(platform.WorkerErrorLeaseExpired, "lease of another boot or already over")
	}
	if allocated := w.allocatedResources().Add(start.Size); !allocated.FitsIn(w.opts.Capacity) {
		return problemResponse(platform.WorkerErrorRefused, "over capacity: "+allocated.String())
	}
	w.runTask(ref, *start)
	return platform.WorkerResponse{}
}

func (w *Worker) runTask(ref platform.TaskRef, start platform.StartRequest) {
	now := time.Now()
	resumedRuntime, _ := time.ParseDuration(start.Checkpoint)
	w.runs = append(w.runs, TaskRun{Worker: w.opts.ID, Task: start.Task, Attempt: start.Attempt, Size: start.Size, From: now})
	w.tasks[ref] = &taskState{
		start:          start,
		epoch:          start.Epoch,
		state:          platform.TaskRunning,
		leaseUntil:     start.LeaseUntil,
		startedAt:      now,
		resumedRuntime: resumedRuntime,
		throttleLimit:  start.Size,
		runIndex:       len(w.runs) - 1,
	}
}

func (w *Worker) allocatedResources() model.Resources {
	var sum model.Resources
	for _, t := range w.tasks {
		if t.state == platform.TaskRunning {
			sum = sum.Add(t.start.Size)
		}
	}
	return sum
}

func (w *Worker) renewLeases(call platform.WorkerRequest) platform.WorkerResponse {
	renewal := call.Renewal
	if renewal == nil || renewal.Boot != w.boot || renewal.LeaseUntil <= w.clockNow() {
		return problemResponse(platform.WorkerErrorLeaseExpired, "lease of another boot or already over")
	}
	for _, ref := range renewal.Tasks {
		if t, ok := w.tasks[ref]; ok && t.state == platform.TaskRunning {
			t.leaseUntil = max(t.leaseUntil, renewal.LeaseUntil)
			t.epoch = call.Epoch
		}
	}
	return platform.WorkerResponse{}
}

// checkpointTask uses the task's total run time as the name of its checkpoint.
func (w *Worker) checkpointTask(call platform.WorkerRequest) platform.WorkerResponse {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok {
			t.start.Checkpoint = w.totalRuntime(t).String()
			return platform.WorkerResponse{Checkpoint: t.start.Checkpoint}
		}
	}
	return problemResponse(platform.WorkerErrorRefused, "no such task")
}

func (w *Worker) throttleTasks(call platform.WorkerRequest) platform.WorkerResponse {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok {
			t.throttleLimit = call.Limit
		}
	}
	return platform.WorkerResponse{}
}

func (w *Worker) stopTasks(call platform.WorkerRequest) platform.WorkerResponse {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok && t.state == platform.TaskRunning {
			w.finishTask(t, platform.TaskStopped, w.clockNow())
		}
	}
	return platform.WorkerResponse{}
}

func (w *Worker) forgetTasks(call platform.WorkerRequest) platform.WorkerResponse {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok && t.state != platform.TaskRunning {
			delete(w.tasks, ref)
		}
	}
	return platform.WorkerResponse{}
}
