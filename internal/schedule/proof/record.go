package proof

import (
	"fmt"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// phase is where a task stands in the oracle's record.
type phase int

const (
	phaseWaiting phase = iota
	phaseAssumed       // placed, neither confirmed nor forgotten
	phaseRunning       // confirmed or adopted
	phaseEnded         // never to be placed again
)

// taskRecord is what the oracle knows of a task.
type taskRecord struct {
	id            model.TaskID
	job           *jobRecord
	phase         phase
	worker        model.WorkerID // while it holds capacity
	size          model.Resources
	failures      int
	stopAction    schedule.Action // the command outstanding for the task, if any; see asked
	stopRequested bool            // a stop, move or preemption was returned for the current run
}

// held reports whether the task holds capacity.
func (t *taskRecord) holdsCapacity() bool {
	return t.phase == phaseAssumed || t.phase == phaseRunning
}

// jobRecord is what the oracle knows of a job.
type jobRecord struct {
	model.Job
	tasks     []*taskRecord
	canceled  bool
	failed    bool // a run of one of its tasks failed, or its gang lost a task for good
	done      int  // tasks that ended as done
	oversized bool // a run used more than it was granted
}

func newJobRecord(j model.Job) *jobRecord {
	out := &jobRecord{Job: j}
	for i := range j.Tasks {
		id := model.TaskID(fmt.Sprintf("%s/%d", j.ID, i))
		out.tasks = append(out.tasks, &taskRecord{id: id, job: out})
	}
	return out
}

// count returns how many tasks of the job are in the phase.
func (j *jobRecord) count(p phase) int {
	n := 0
	for _, t := range j.tasks {
		if t.phase == p {
			n++
		}
	}
	return n
}

// mayStop reports whether the job may be stopped for good by rule.
func (j *jobRecord) mayStop() bool {
	broken := j.Kind == model.KindGang && !j.Restartable && j.count(phaseWaiting) > 0
	return j.canceled || j.failed || j.oversized || broken
}

// workerRecord is what the oracle knows of a worker.
type workerRecord struct {
	schedule.Worker
	listed    bool // listed; false while only adopted tasks name it
	granted   model.Resources
	heldTasks int // tasks that hold capacity
}

// quotaBroken reports whether used is above a quota whose zero components are unbounded.
func exceedsQuota(granted, quota model.Resources) bool {
	return quota.MilliCPU > 0 && granted.MilliCPU > quota.MilliCPU ||
		quota.MemoryMiB > 0 && granted.MemoryMiB > quota.MemoryMiB ||
		quota.Accelerators > 0 && granted.Accelerators > quota.Accelerators
}
