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

// WorkerOptions describe a stand-in for a worker.
type WorkerOptions struct {
	ID       model.WorkerID
	Capacity model.Resources
	// Runtimes gives the run time of a workload's tasks; zero runs until stopped.
	Runtimes map[model.WorkloadID]time.Duration
	// DefaultRuntime is used for workloads that Runtimes does not name.
	DefaultRuntime time.Duration
	// ReportLag is how old the usage in a report is.
	ReportLag time.Duration
	// FailAll makes every task fail at once.
	FailAll bool
}

// Worker is a stand-in for a worker's agent: it runs tasks as timers under
// leases on its own clock and refuses epochs older than it has accepted.
type Worker struct {
	Faults *Faults

	opts  WorkerOptions
	boot  string
	start time.Time // the clock's zero

	mu      sync.Mutex
	epochs  map[model.PartitionID]int64
	tasks   map[platform.TaskRef]*runningTask
	history []TaskRun
}

// Run is one interval in which a task ran: the ground truth of the demo and the tests.
type TaskRun struct {
	Worker     model.WorkerID  `json:"worker"`
	Task       model.TaskID    `json:"task"`
	Attempt    int64           `json:"attempt"`
	Size       model.Resources `json:"size"`
	From       time.Time       `json:"from"`
	Until      time.Time       `json:"until"` // zero while it runs
	FinalState string          `json:"end,omitempty"`
}

type runningTask struct {
	start      platform.Start
	epoch      int64
	state      platform.TaskState
	leaseUntil platform.WorkerClock
	begun      time.Time
	base       time.Duration // run time before the checkpoint that it resumed from
	limit      model.Resources
	run        int // index into history
}

// NewWorker returns a worker that has just booted.
func NewWorker(opts WorkerOptions) *Worker {
	return &Worker{
		Faults: &Faults{},
		opts:   opts,
		boot:   uuid.NewString(),
		start:  time.Now(),
		epochs: map[model.PartitionID]int64{},
		tasks:  map[platform.TaskRef]*runningTask{},
	}
}

// Handler returns the agent's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/report", w.serve(w.report))
	mux.HandleFunc("POST /v1/start", w.serve(w.startTask))
	mux.HandleFunc("POST /v1/renew", w.serve(w.renew))
	mux.HandleFunc("POST /v1/checkpoint", w.serve(w.checkpoint))
	mux.HandleFunc("POST /v1/throttle", w.serve(w.throttle))
	mux.HandleFunc("POST /v1/stop", w.serve(w.stop))
	mux.HandleFunc("POST /v1/forget", w.serve(w.forget))
	mux.HandleFunc("GET /history", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, http.StatusOK, w.TaskRuns()) })
	mux.HandleFunc("PUT /reboot", func(http.ResponseWriter, *http.Request) { w.Reboot() })
	mux.Handle("PUT /faults", w.Faults)
	return mux
}

// Reboot restarts the worker: its tasks end, and it forgets epochs and attempts.
func (w *Worker) Reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	for _, t := range w.tasks {
		if t.state == platform.TaskRunning {
			w.end(t, platform.TaskStopped, w.clock())
		}
	}
	w.boot = uuid.NewString()
	w.epochs = map[model.PartitionID]int64{}
	w.tasks = map[platform.TaskRef]*runningTask{}
}

// History returns every run so far.
func (w *Worker) TaskRuns() []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	return append([]TaskRun(nil), w.history...)
}

type workerCall func(platform.WorkerCall) platform.WorkerAnswer

func (w *Worker) serve(do workerCall) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		fault := w.Faults.draw()
		time.Sleep(fault.delay)
		if fault.down {
			panic(http.ErrAbortHandler)
		}
		var call platform.WorkerCall
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			writeJSON(rw, http.StatusBadRequest, refusal(platform.WorkerRefused, err.Error()))
			return
		}
		answer := w.guarded(call, do)
		if fault.loseAnswer {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, http.StatusOK, answer)
	}
}

// guarded checks the epoch before a call and remembers a newer one.
func (w *Worker) guarded(call platform.WorkerCall, do workerCall) platform.WorkerAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if accepted := w.epochs[call.Partition]; call.Epoch < accepted {
		return refusal(platform.WorkerStaleEpoch, fmt.Sprintf("epoch %d, accepted %d", call.Epoch, accepted))
	}
	w.epochs[call.Partition] = call.Epoch
	return do(call)
}

func refusal(problem platform.WorkerProblem, detail string) platform.WorkerAnswer {
	return platform.WorkerAnswer{Problem: problem, Detail: detail}
}

func (w *Worker) clock() platform.WorkerClock {
	return platform.WorkerClock(time.Since(w.start))
}

// settle ends the tasks whose lease or run time is over; the caller holds mu.
func (w *Worker) settle() {
	clock := w.clock()
	for _, t := range w.tasks {
		if t.state != platform.TaskRunning {
			continue
		}
		finish, ends := w.finishClock(t)
		switch {
		case ends && finish <= min(clock, t.leaseUntil):
			w.end(t, w.finalState(), finish)
		case t.leaseUntil <= clock:
			w.end(t, platform.TaskExpired, t.leaseUntil)
		}
	}
}

func (w *Worker) finalState() platform.TaskState {
	if w.opts.FailAll {
		return platform.TaskFailed
	}
	return platform.TaskDone
}

// finishClock returns when the task is done, if it ends by itself.
func (w *Worker) finishClock(t *runningTask) (platform.WorkerClock, bool) {
	begun := platform.WorkerClock(t.begun.Sub(w.start))
	if w.opts.FailAll {
		return begun, true
	}
	runtime, named := w.opts.Runtimes[t.start.Workload]
	if !named {
		runtime = w.opts.DefaultRuntime
	}
	if runtime == 0 {
		return 0, false
	}
	return begun + platform.WorkerClock(max(runtime-t.base, 0)), true
}

func (w *Worker) end(t *runningTask, state platform.TaskState, at platform.WorkerClock) {
	t.state = state
	w.history[t.run].Until = w.start.Add(time.Duration(at))
	w.history[t.run].FinalState = string(state)
}

func (w *Worker) report(call platform.WorkerCall) platform.WorkerAnswer {
	report := platform.Report{
		Worker:   w.opts.ID,
		Boot:     w.boot,
		Clock:    w.clock(),
		Epoch:    w.epochs[call.Partition],
		Capacity: w.opts.Capacity,
	}
	for ref, t := range w.tasks {
		report.Tasks = append(report.Tasks, w.taskReport(ref, t))
	}
	sort.Slice(report.Tasks, func(i, j int) bool { return report.Tasks[i].Task < report.Tasks[j].Task })
	return platform.WorkerAnswer{Report: &report}
}

func (w *Worker) taskReport(ref platform.TaskRef, t *runningTask) platform.TaskReport {
	ran := w.ran(t)
	used := t.start.Size
	if ran < w.opts.ReportLag {
		used = model.Resources{}
	}
	return platform.TaskReport{
		TaskRef:    ref,
		Partition:  t.start.Partition,
		Epoch:      t.epoch,
		State:      t.state,
		LeaseUntil: t.leaseUntil,
		Used:       used,
		Ran:        ran,
		Checkpoint: t.start.Checkpoint,
	}
}

func (w *Worker) ran(t *runningTask) time.Duration {
	until := w.history[t.run].Until
	if until.IsZero() {
		until = time.Now()
	}
	return t.base + until.Sub(t.begun)
}

func (w *Worker) startTask(call platform.WorkerCall) platform.WorkerAnswer {
	s := call.Start
	if s == nil {
		return refusal(platform.WorkerRefused, "no start in the call")
	}
	ref := platform.TaskRef{Task: s.Task, Attempt: s.Attempt}
	if _, known := w.tasks[ref]; known {
		return platform.WorkerAnswer{}
	}
	if s.Boot != w.boot || s.LeaseUntil <= w.clock() {
		return refusal(platform.WorkerLeaseExpired, "lease of another boot or already over")
	}
	if granted := w.granted().Add(s.Size); !granted.FitsIn(w.opts.Capacity) {
		return refusal(platform.WorkerRefused, "over capacity: "+granted.String())
	}
	w.run(ref, *s)
	return platform.WorkerAnswer{}
}

func (w *Worker) run(ref platform.TaskRef, s platform.Start) {
	now := time.Now()
	base, _ := time.ParseDuration(s.Checkpoint)
	w.history = append(w.history, TaskRun{Worker: w.opts.ID, Task: s.Task, Attempt: s.Attempt, Size: s.Size, From: now})
	w.tasks[ref] = &runningTask{
		start:      s,
		epoch:      s.Epoch,
		state:      platform.TaskRunning,
		leaseUntil: s.LeaseUntil,
		begun:      now,
		base:       base,
		limit:      s.Size,
		run:        len(w.history) - 1,
	}
}

func (w *Worker) granted() model.Resources {
	var sum model.Resources
	for _, t := range w.tasks {
		if t.state == platform.TaskRunning {
			sum = sum.Add(t.start.Size)
		}
	}
	return sum
}

func (w *Worker) renew(call platform.WorkerCall) platform.WorkerAnswer {
	r := call.Renewal
	if r == nil || r.Boot != w.boot || r.LeaseUntil <= w.clock() {
		return refusal(platform.WorkerLeaseExpired, "lease of another boot or already over")
	}
	for _, ref := range r.Tasks {
		if t, ok := w.tasks[ref]; ok && t.state == platform.TaskRunning {
			t.leaseUntil = max(t.leaseUntil, r.LeaseUntil)
			t.epoch = call.Epoch
		}
	}
	return platform.WorkerAnswer{}
}

// checkpoint names the state after the run time so far.
func (w *Worker) checkpoint(call platform.WorkerCall) platform.WorkerAnswer {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok {
			t.start.Checkpoint = w.ran(t).String()
			return platform.WorkerAnswer{Checkpoint: t.start.Checkpoint}
		}
	}
	return refusal(platform.WorkerRefused, "no such task")
}

func (w *Worker) throttle(call platform.WorkerCall) platform.WorkerAnswer {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok {
			t.limit = call.Limit
		}
	}
	return platform.WorkerAnswer{}
}

func (w *Worker) stop(call platform.WorkerCall) platform.WorkerAnswer {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok && t.state == platform.TaskRunning {
			w.end(t, platform.TaskStopped, w.clock())
		}
	}
	return platform.WorkerAnswer{}
}

func (w *Worker) forget(call platform.WorkerCall) platform.WorkerAnswer {
	for _, ref := range call.Refs {
		if t, ok := w.tasks[ref]; ok && t.state != platform.TaskRunning {
			delete(w.tasks, ref)
		}
	}
	return platform.WorkerAnswer{}
}
