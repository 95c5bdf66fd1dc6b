package proof

import (
	"fmt"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// phase is the state of a task in the oracle's record.
type phase int

const (
	phaseWaiting phase = iota
	phaseAssumed       // placed, but neither confirmed nor forgotten
	phaseRunning       // confirmed or adopted
	phaseEnded         // must not be placed again
)

// taskRecord is the oracle's record of a task.
type taskRecord struct {
	id            model.TaskID
	job           *jobRecord
	phase         phase
	worker        model.WorkerID // empty unless the task holds capacity
	size          model.Resources
	failures      int
	stopAction    schedule.Action // action of the last command to end the run; valid if stopRequested
	stopRequested bool            // a stop, move or preemption was returned for the current run
}

func (t *taskRecord) holdsCapacity() bool {
	return t.phase == phaseAssumed || t.phase == phaseRunning
}

// jobRecord is the oracle's record of a job.
type jobRecord struct {
	model.Job
	tasks     []*taskRecord
	canceled  bool
	failed    bool // a run of one of its tasks failed, or it is a gang that lost a task for good
	done      int  // tasks that ended with OutcomeDone
	oversized bool // a run used more than its grant
}

func newJobRecord(j model.Job) *jobRecord {
	record := &jobRecord{Job: j}
	for i := range j.Tasks {
		id := model.TaskID(fmt.Sprintf("%s/%d", j.ID, i))
		record.tasks = append(record.tasks, &taskRecord{id: id, job: record})
	}
	return record
}

// count returns the number of the job's tasks in the phase.
func (j *jobRecord) count(p phase) int {
	n := 0
	for _, t := range j.tasks {
		if t.phase == p {
			n++
		}
	}
	return n
}

// mayStop reports whether RuleStop allows ActionStop for the job's tasks. A gang that is not
// restartable may be stopped while some of its tasks wait.
func (j *jobRecord) mayStop() bool {
	broken := j.Kind == model.KindGang && !j.Restartable && j.count(phaseWaiting) > 0
	return j.canceled || j.failed || j.oversized || broken
}

// workerRecord is the oracle's record of a worker.
type workerRecord struct {
	schedule.Worker
	listed    bool // UpsertWorker was called; false if only adopted tasks name the worker
	granted   model.Resources
	heldTasks int // tasks that hold capacity on the worker
}

// exceedsQuota reports whether the granted amount exceeds a quota. A zero component of the
// quota means no limit.
func exceedsQuota(granted, quota model.Resources) bool {
	return quota.MilliCPU > 0 && granted.MilliCPU > quota.MilliCPU ||
		quota.MemoryMiB > 0 && granted.MemoryMiB > quota.MemoryMiB ||
		quota.Accelerators > 0 && granted.Accelerators > quota.Accelerators
}
