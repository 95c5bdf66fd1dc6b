package dispatch

import (
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// taskState is where a task stands.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive            // at least one run may be running
	taskDone
)

// task is one task of a step.
type task struct {
	step       *step
	index      int
	state      taskState
	runs       []*run // that may be running; more than one only where copies are allowed
	failedRuns []int64
	checkpoint string
	notBefore  time.Duration
	failedOn   []model.WorkerID
}

func (t *task) id() fleet.TaskID { return fleet.TaskID{StepID: t.step.id, Index: t.index} }

// step is one step of one occurrence.
type step struct {
	id             fleet.StepID
	def            *fleet.Step
	job            *job
	tasks          []*task
	done           int
	doneRunTime    time.Duration // sum over the tasks that ended here
	timedTasks     int           // how many these are
	waiting        int           // tasks in taskWaiting
	started        bool
	gangFailedRuns []int64 // runs of a gang that failed
	notBefore      time.Duration
	runsPerWorker  map[model.WorkerID]int // active runs, for MaxPerWorker
	advice         advice
	tryAllWorkers  bool          // all workers are to be tried, not only those that gained room
	hasDelayedTask bool          // a task waits for its time
	retryDue       time.Duration // when to look for others' room again
	adviceDue      time.Duration // when to look whether advice is needed again
}

// job is a submission with its progress.
type job struct {
	sub          *fleet.Submission
	revision     int64 // of the store when it was accepted
	state        fleet.State
	durableState fleet.State // the state that is durable, for final ones
	canceled     bool
	arrivedAt    time.Duration // on the dispatcher's clock
	started      bool          // a task has started
	steps        [][]*step     // by occurrence; nil until it is due
	finishedAt   time.Duration
	nextRun      int64 // counter of this owner's runs

	version        int64 // raised with every change of the progress
	durableVersion int64 // version that is in the store
	inDirtyList    bool  // in Dispatcher.dirty
	writing        bool  // in a batch that is out
	queue          fleet.Queue
	objective      time.Duration // from arrival
}

// newStep builds one step with all tasks waiting.
func newStep(j *job, occurrence, index int) *step {
	def := &j.sub.Steps[index]
	s := &step{id: fleet.StepID{Job: j.sub.ID, Occurrence: occurrence, Step: index}, def: def, job: j, waiting: def.Tasks, tryAllWorkers: true}
	s.tasks = make([]*task, def.Tasks)
	for i := range s.tasks {
		s.tasks[i] = &task{step: s, index: i}
	}
	if def.MaxPerWorker > 0 {
		s.runsPerWorker = map[model.WorkerID]int{}
	}
	return s
}

// build creates the steps of an occurrence.
func (j *job) createSteps(occurrence int) {
	if j.steps[occurrence] != nil {
		return
	}
	steps := make([]*step, len(j.sub.Steps))
	for i := range steps {
		steps[i] = newStep(j, occurrence, i)
	}
	j.steps[occurrence] = steps
}

// refresh makes all steps be tried on all workers.
func (j *job) retryOnAllWorkers() {
	for _, steps := range j.steps {
		for _, s := range steps {
			s.tryAllWorkers = true
		}
	}
}

// complete reports whether all of the step's tasks are done.
func (s *step) complete() bool { return s.done == len(s.tasks) }

// ready reports whether all steps before are complete.
func (s *step) ready() bool {
	for _, a := range s.def.After {
		if !s.job.steps[s.id.Occurrence][a].complete() {
			return false
		}
	}
	return true
}

// complete reports whether every occurrence has ended.
func (j *job) complete() bool {
	for _, steps := range j.steps {
		if steps == nil {
			return false
		}
		for _, s := range steps {
			if !s.complete() {
				return false
			}
		}
	}
	return true
}

// closed reports whether no task of the job may be started again.
func (j *job) closed() bool { return j.canceled || j.state.Final() }

// changed notes that the progress has to be written.
func (d *Dispatcher) markDirty(j *job) {
	j.version++
	if !j.inDirtyList {
		j.inDirtyList = true
		d.dirtyJobs = append(d.dirtyJobs, j)
	}
}

// chain is the longest path of estimates through the steps.
func criticalPath(sub *fleet.Submission, q fleet.Queue) time.Duration {
	ends := make([]time.Duration, len(sub.Steps))
	longest := time.Duration(0)
	for i, s := range sub.Steps {
		begin := time.Duration(0)
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.Estimate
		if q.Advice != nil {
			ends[i] += q.Advice.BaseLatency + objectiveAdviceWorkers*q.Advice.LatencyPerWorker
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// adviceNamed is the number of workers in a call for advice that the objective allows for.
const objectiveAdviceWorkers = 30

// setQueue takes the queue's settings in force. A queue that was removed keeps those that
// were in force when the job was accepted.
func (d *Dispatcher) setQueue(j *job) {
	q, ok := fleet.Queue{}, false
	if d.config != nil {
		q, ok = d.config.Queue(j.sub.Queue)
	}
	if !ok {
		if j.queue.Name != "" {
			return
		}
		q = fleet.Queue{Name: j.sub.Queue, Service: j.sub.Service, MaxAttempts: defaultMaxAttempts, SlowdownFactor: 1}
	}
	j.queue = q
	j.objective = time.Duration(float64(criticalPath(j.sub, q))*max(q.SlowdownFactor, 1)) + q.TargetLatency
}

// due is when an occurrence's objective ends.
func (j *job) objectiveEnd() time.Duration { return j.arrivedAt + j.objective }
