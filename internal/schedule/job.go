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

// taskState is what is known of one task of a job; a byte each.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced            // holds capacity on a worker
	taskEnded             // done, cancelled or given up
)

// job is a submitted job with its tasks. Its waiting tasks are a count, a byte of state
// each and a stack of those that came back, so that a queue holds jobs and not tasks.
type job struct {
	model.Job
	seq         int64 // order of submission, breaks ties
	branch      *branch
	class       *class
	due         time.Time // key inside its class; see dueTime
	heapPos     int       // position in class.jobs; -1 when not in it
	states      []taskState
	failures    []uint8 // failed runs of each task; nil until the first
	preemptions []uint8 // preemptions of each task; nil until the first
	requeued    []int32 // tasks placed once that wait again; entries may be stale
	nextUnused  int32   // tasks from here on were never taken
	waiting     int     // invariant: number of states equal to taskWaiting
	done        int
	runs        []*run // those that hold capacity
	canceled    bool
	retired     bool   // nothing waits or runs any more; only the counts are kept
	fault       string // why the job was given up; empty: it was not

	failedOn            []*worker // distinct workers, in order of failure
	succeeded           []*worker // distinct workers, at most two are kept
	consecutiveFailures int       // a service's failures in a row
	notBefore           time.Time // a failing service waits until then

	domains map[*domain]int // a service's runs by failure domain
	racks   map[rackKey]int // a service's runs by rack
	workers map[*worker]int // a service's runs by worker
}

// newJob returns a job with all tasks waiting.
func newJob(m model.Job, seq int64) *job {
	return &job{Job: m, seq: seq, heapPos: -1, states: make([]taskState, m.Tasks), waiting: m.Tasks}
}

// taskID returns the id of the job's task with the index.
func (j *job) taskID(index int32) model.TaskID {
	return model.TaskID(string(j.ID) + "/" + strconv.Itoa(int(index)))
}

// splitTaskID returns the job and the index that a task id carries.
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

// takeWaiting removes one task from the waiting ones.
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

// markPlaced notes that a waiting task holds capacity now.
func (j *job) markPlaced(index int32) {
	j.states[index] = taskPlaced
	j.waiting--
}

// returnTask makes a placed task wait again.
func (j *job) returnTask(index int32) {
	j.states[index] = taskWaiting
	j.requeued = append(j.requeued, index)
	j.waiting++
}

// dropWaiting ends all waiting tasks in constant time; their states are not read again.
func (j *job) dropWaiting() { j.waiting = 0 }

// ended reports whether no task waits or holds capacity.
func (j *job) ended() bool { return j.waiting == 0 && len(j.runs) == 0 }

// closed reports whether no task of the job may be placed again.
func (j *job) closed() bool { return j.canceled || j.fault != "" }

// countFailure counts a failed run of a task and returns the number of them.
func (j *job) countFailure(index int32) int {
	j.failures = increment(j.failures, len(j.states), index)
	return int(j.failures[index])
}

// countPreemption counts a preemption of a task.
func (j *job) countPreemption(index int32) {
	j.preemptions = increment(j.preemptions, len(j.states), index)
}

// preemptionCount returns how often a task was preempted.
func (j *job) preemptionCount(index int32) int {
	if j.preemptions == nil {
		return 0
	}
	return int(j.preemptions[index])
}

// increment raises one of n saturating counters, which are made at first use.
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

// countPlacement counts a service's runs by failure domain and rack.
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

// stopCause says why a run is being stopped.
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
	job            *job // nil while the job of an adopted task is unknown
	index          int32
	worker         *worker
	size           model.Resources // granted
	started        time.Time
	used           model.Resources // by the last report
	confirmed      bool            // false: assumed
	stop           stopCause       // not stopNone: the host was asked to stop it
	throttleWanted bool            // a limit is wanted
	throttleSent   bool            // and was asked for
	moveWanted     bool            // is to be moved
	countedSuccess bool            // counted as a success
	probe          bool
	workerPos      int // position in worker.runs
	jobPos         int // position in job.runs
}

// newDecision describes an action on the run.
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
