package schedule

import (
	"math"
	"strconv"
	"strings"
	"time"

	"filbertcross/internal/model"
)

// maxTasks bounds the tasks of one job.
const maxTasks = 1 << 20

// taskState is the state of one task of a job. It takes one byte for each task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced            // holds capacity on a worker
	taskEnded             // done, canceled or abandoned
)

// job is a submitted job with its tasks. Waiting tasks are stored as a count, a state byte
// for each and a stack of requeued tasks, so queues hold jobs rather than tasks.
type job struct {
	model.Job
	seq           int64 // submission order; breaks ties
	branch        *branch
	class         *class
	due           time.Time // sort key within the class; see dueTime
	heapPos       int       // position in class.jobs; -1: not in the heap
	states        []taskState
	failures      []uint8 // failed runs by task; nil before the first failure
	preemptions   []uint8 // by task; nil before the first preemption
	requeued      []int32 // tasks that wait again after a placement; entries may be stale
	nextUnused    int32   // tasks from this index on were never placed by takeWaiting
	waiting       int     // number of states equal to taskWaiting, unless the job is closed
	done          int
	runs          []*run // runs that hold capacity
	canceled      bool
	retired       bool   // no task waits or runs; only the counts are kept
	abandonReason string // why the job was abandoned; empty if it was not

	failedOn            []*worker // distinct workers on which the job failed, in order of failure
	succeeded           []*worker // distinct workers on which the job succeeded; at most two are kept
	consecutiveFailures int       // of a service, since its last success
	notBefore           time.Time // end of the back-off of a failing service

	domains map[*domain]int // a service's runs by failure domain
	racks   map[rackKey]int // a service's runs by rack
	workers map[*worker]int // a service's runs by worker
}

// newJob returns a job whose tasks are all waiting.
func newJob(m model.Job, seq int64) *job {
	return &job{Job: m, seq: seq, heapPos: -1, states: make([]taskState, m.Tasks), waiting: m.Tasks}
}

// taskID returns the ID of the job's task at index.
func (j *job) taskID(index int32) model.TaskID {
	return model.TaskID(string(j.ID) + "/" + strconv.Itoa(int(index)))
}

// splitTaskID splits a task ID into the job's ID and the task's index.
func splitTaskID(id model.TaskID) (model.JobID, int32, bool) {
	slash := strings.LastIndexByte(string(id), '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.ParseInt(string(id[slash+1:]), 10, 32)
	if err != nil || index < 0 {
		return "", 0, false
	}
	return model.JobID(id[:slash]), int32(index), true
}

// takeWaiting marks one waiting task as placed and returns its index. At least one task
// must be waiting.
func (j *job) takeWaiting() int32 {
	for n := len(j.requeued); n > 0; n = len(j.requeued) {
		index := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		if j.states[index] == taskWaiting {
			j.markPlaced(index)
			return index
		}
	}
	for j.states[j.nextUnused] != taskWaiting {
		j.nextUnused++
	}
	index := j.nextUnused
	j.nextUnused++
	j.markPlaced(index)
	return index
}

// markPlaced records that a waiting task holds capacity.
func (j *job) markPlaced(index int32) {
	j.states[index] = taskPlaced
	j.waiting--
}

// returnTask marks a placed task as waiting again.
func (j *job) returnTask(index int32) {
	j.states[index] = taskWaiting
	j.requeued = append(j.requeued, index)
	j.waiting++
}

// dropWaiting drops all waiting tasks in constant time. Their states are not read again.
func (j *job) dropWaiting() { j.waiting = 0 }

// ended reports whether no task waits or holds capacity.
func (j *job) ended() bool { return j.waiting == 0 && len(j.runs) == 0 }

// closed reports whether the job was canceled or abandoned, so that none of its tasks may
// be placed again.
func (j *job) closed() bool { return j.canceled || j.abandonReason != "" }

// countFailure counts a failed run of the task and returns the task's number of failures.
func (j *job) countFailure(index int32) int {
	j.failures = increment(j.failures, len(j.states), index)
	return int(j.failures[index])
}

// countPreemption counts a preemption of the task.
func (j *job) countPreemption(index int32) {
	j.preemptions = increment(j.preemptions, len(j.states), index)
}

// preemptionCount returns how often the task was preempted.
func (j *job) preemptionCount(index int32) int {
	if j.preemptions == nil {
		return 0
	}
	return int(j.preemptions[index])
}

// increment increments one of n saturating counters and returns the counters, which are
// allocated on first use.
func increment(counters []uint8, n int, index int32) []uint8 {
	if counters == nil {
		counters = make([]uint8, n)
	}
	if counters[index] < math.MaxUint8 {
		counters[index]++
	}
	return counters
}

// failedOnWorker reports whether the job failed on the worker.
func (j *job) failedOnWorker(w *worker) bool {
	for _, other := range j.failedOn {
		if other == w {
			return true
		}
	}
	return false
}

// countPlacement adds delta to a service's run counts for the worker's failure domain and
// rack and for the worker itself.
func (j *job) countPlacement(w *worker, delta int) {
	if j.Kind != model.KindService {
		return
	}
	if j.domains == nil {
		j.domains = map[*domain]int{}
		j.racks = map[rackKey]int{}
		j.workers = map[*worker]int{}
	}
	j.domains[w.domain] += delta
	j.racks[w.rackKey()] += delta
	if j.workers[w] += delta; j.workers[w] == 0 {
		delete(j.workers, w)
	}
}

// stopCause is why a run is being stopped.
type stopCause uint8

const (
	stopNone stopCause = iota
	stopCanceled
	stopPreempted
	stopMoved
)

// run is a task that holds capacity on a worker.
type run struct {
	id             model.TaskID
	jobID          model.JobID
	job            *job // nil while the job of an adopted run is unknown
	index          int32
	worker         *worker
	size           model.Resources // granted
	started        time.Time
	used           model.Resources // in the last usage report
	confirmed      bool            // false: assumed
	stop           stopCause       // other than stopNone: a stop was requested
	throttleWanted bool            // the run is to be throttled
	throttleSent   bool            // ActionThrottle was emitted
	moveWanted     bool            // the run is to be moved to another worker
	countedSuccess bool            // recorded as a success
	probe          bool
	workerPos      int // position in worker.runs
	jobPos         int // position in job.runs
}

// newDecision returns a decision about the run.
func (r *run) newDecision(action Action, group int64, reason string) Decision {
	d := Decision{
		Action: action, Task: r.id, Job: r.jobID, Worker: r.worker.ID, Group: group, Reason: reason,
	}
	if r.job != nil {
		d.Branch = r.job.Branch
	}
	if action == ActionPlace || action == ActionProbe {
		d.Size = r.size
	}
	return d
}
