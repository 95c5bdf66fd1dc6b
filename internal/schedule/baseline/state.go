package baseline

import (
	"fmt"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// maxFailures is the number of failed runs after which a task is not queued again.
const maxFailures = 3

type taskState int

const (
	stateWaiting taskState = iota
	statePlaced            // holds capacity
	stateEnded
)

type task struct {
	id       model.TaskID
	job      *job
	state    taskState
	assumed  bool // placed, but neither confirmed nor forgotten
	stopping bool // a stop or move was queued for the current run
	worker   *worker
	size     model.Resources
	failures int
}

type job struct {
	model.Job
	tasks    []*task
	waiting  int
	done     int
	canceled bool
}

// taskID returns the ID of the job's task at index.
func taskID(id model.JobID, index int) model.TaskID {
	return model.TaskID(fmt.Sprintf("%s/%d", id, index))
}

func newJob(spec model.Job) *job {
	j := &job{Job: spec, waiting: spec.Tasks}
	for i := range spec.Tasks {
		j.tasks = append(j.tasks, &task{id: taskID(spec.ID, i), job: j})
	}
	return j
}

// unfinished returns the number of tasks that have not ended.
func (j *job) unfinished() int {
	n := 0
	for _, t := range j.tasks {
		if t.state != stateEnded {
			n++
		}
	}
	return n
}

type worker struct {
	schedule.Worker
	listed  bool // UpsertWorker was called; false if only adopted tasks name the worker
	granted model.Resources
	tasks   map[model.TaskID]*task
}

func newWorker(id model.WorkerID) *worker {
	return &worker{
		Worker: schedule.Worker{ID: id},
		tasks:  make(map[model.TaskID]*task),
	}
}

// accepts reports whether a new task of the given size can be placed on the worker.
func (w *worker) accepts(size model.Resources) bool {
	if !w.listed || w.Leaving || w.Unreachable {
		return false
	}
	return w.granted.Add(size).FitsIn(w.Capacity)
}

// withinQuota reports whether the granted amount is within a quota. A zero component of the
// quota means no limit.
func withinQuota(granted, quota model.Resources) bool {
	within := func(granted, quota int64) bool { return quota == 0 || granted <= quota }
	return within(granted.MilliCPU, quota.MilliCPU) &&
		within(granted.MemoryMiB, quota.MemoryMiB) &&
		within(granted.Accelerators, quota.Accelerators)
}

func multiply(r model.Resources, n int) model.Resources {
	return model.Resources{
		MilliCPU:     r.MilliCPU * int64(n),
		MemoryMiB:    r.MemoryMiB * int64(n),
		Accelerators: r.Accelerators * int64(n),
	}
}
