package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// taskState is the scheduling state of a task.
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
	runs       []*run // runs that may be running; more than one only in speculative steps
	failedRuns []int64
	checkpoint string // latest known; empty: none
	notBefore  time.Duration
	failedOn   []model.WorkerID
	history    crashHistory
	stalls     int // runs that were stopped for lack of progress
}

func (t *task) id() fleet.TaskID { return fleet.TaskID{StepID: t.step.id, Index: t.index} }

// step is one step of one occurrence.
type step struct {
	id             fleet.StepID
	def            *fleet.Step
	job            *job
	occurrence     *occurrence
	tasks          []*task
	done           int
	doneRunTime    time.Duration // total run time of the tasks that were completed without a checkpoint under this owner
	timedTasks     int           // number of tasks in doneRunTime
	timedRuns      []timedRun    // the same tasks, until the step is complete
	slowdownLimit  float64       // see maxSlowdown, at the last attempt to place the step
	waiting        int           // tasks in taskWaiting
	firstWaiting   int           // no task with a lower index is in taskWaiting
	started        bool
	gangFailedRuns []int64 // failed run numbers, if the step is a gang
	// gangCrashedRuns are the run numbers of the gang shortly after whose start a worker crashed.
	gangCrashedRuns []int64
	apartUntil      time.Duration // see startsApart
	hasSuspects     bool          // a task has, or had, a crash history
	isolating       int           // tasks that wait for a worker in isolation, at the last attempt to place the step
	notBefore       time.Duration
	runsPerWorker   map[model.WorkerID]int // runs by worker, if the step has MaxPerWorker
	advice          advice
	tryAllWorkers   bool          // the next pass tries all workers, not only those with freed capacity
	hasDelayedTask  bool          // a waiting task has notBefore in the future
	retryDue        time.Duration // time of the next attempt to preempt or to place a gang
	adviceDue       time.Duration // time of the next check whether advice is needed
	reservation     *reservation  // of a gang that waits for capacity
	reserveDue      time.Duration // time of the next choice of workers to reserve
	missedFreed     bool          // workers had freed capacity before retryDue
	postponed       bool          // the last pass left the search for its workers to the next one
	waitRecorded    bool          // an event says that the gang waits
}

// job is a submission and its progress.
type job struct {
	sub *fleet.Submission
	// definitionBytes and occurrenceBytes are about the memory of sub and of each occurrence.
	definitionBytes, occurrenceBytes int64

	revision     int64 // store revision at which it was accepted
	state        fleet.State
	durableState fleet.State // the final state once it is durable, before that not final
	failureCause string      // why it failed; empty in all other states
	canceled     bool
	arrivedAt    time.Duration // on the dispatcher's clock
	started      bool          // a task has started
	// occurrences are those that are held, in order: due and not complete, within the bounds of occurrence.go.
	occurrences    []*occurrence
	completed      indexSet // numbers of the occurrences that are complete and no longer held
	tooLarge       bool     // no occurrence is ever created
	nextOccurrence int      // those with lower numbers are held or complete
	finishedAt     time.Duration
	nextRun        int64         // number of run numbers issued by this owner
	runLostAt      time.Duration // when a run was last found to have ended without a result; see suspension.go

	version        int64         // increases with every change of the progress
	durableVersion int64         // latest version in the store
	inDirtyList    bool          // in Dispatcher.dirtyJobs
	writing        bool          // in a batch in flight
	writeDue       time.Duration // when its progress may be written again, unless it has a final state
	queue          fleet.QueueSettings
	account        *account        // nil: the submission belongs to none
	beyondRate     bool            // it arrived beyond its account's rate
	objective      time.Duration   // from arrival
	pathsToEnd     []time.Duration // by step, from its start to the end of the submission
}

// newStep returns a step with all its tasks waiting.
func newStep(j *job, o *occurrence, index int) *step {
	def := &j.sub.Steps[index]
	s := &step{id: fleet.StepID{Job: j.sub.ID, Occurrence: o.number, Step: index}, def: def, job: j, occurrence: o, waiting: def.Tasks, tryAllWorkers: true}
	s.tasks = make([]*task, def.Tasks)
	for i := range s.tasks {
		s.tasks[i] = &task{step: s, index: i}
	}
	if def.MaxPerWorker > 0 {
		s.runsPerWorker = map[model.WorkerID]int{}
	}
	return s
}

// retryOnAllWorkers makes the next pass try all workers for all steps.
func (j *job) retryOnAllWorkers() {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.tryAllWorkers = true
			s.advice.exhaustedUntil = 0
		}
	}
}

// complete reports whether all of the step's tasks are done.
func (s *step) complete() bool { return s.done == len(s.tasks) }

// ready reports whether all steps that this one depends on are complete.
func (s *step) ready() bool {
	for _, a := range s.def.After {
		if !s.occurrence.steps[a].complete() {
			return false
		}
	}
	return true
}

// closed reports whether the job's tasks must not be started any more.
func (j *job) closed() bool { return j.canceled || j.state.Final() }

// markDirty queues the job's progress for writing.
func (d *Dispatcher) markDirty(j *job) {
	j.version++
	if !j.inDirtyList {
		j.inDirtyList = true
		d.dirtyJobs = append(d.dirtyJobs, j)
	}
}

// pathsToEnd returns for each step the length of the longest path from its start to the end of the
// submission, by the steps' estimates and advice latencies.
func pathsToEnd(sub *fleet.Submission, q fleet.QueueSettings) []time.Duration {
	paths := make([]time.Duration, len(sub.Steps))
	for i := len(sub.Steps) - 1; i >= 0; i-- { // a step depends on earlier ones only
		s := &sub.Steps[i]
		paths[i] += s.Estimate
		if q.Advice != nil {
			paths[i] += q.Advice.Latency(objectiveAdviceWorkers)
		}
		paths[i] = min(paths[i], fleet.MaxDuration)
		for _, a := range s.After {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// objectiveAdviceWorkers is the number of workers per advice call assumed in objectives.
const objectiveAdviceWorkers = 30

// setQueue applies the newest known settings of the job's queue.
func (d *Dispatcher) setQueue(j *job) {
	j.queue = d.queueSettings(j.sub)
	if j.sub.IsCompacted() {
		return // it has ended
	}
	j.pathsToEnd = pathsToEnd(j.sub, j.queue)
	j.objective = fleet.ClampDuration(float64(slices.Max(j.pathsToEnd))*max(j.queue.SlowdownFactor, 1) + float64(j.queue.TargetLatency))
}

// objectiveEnd returns when the job's objective ends; that of a timed submission counts for each occurrence.
func (j *job) objectiveEnd() time.Duration { return j.arrivedAt + j.objective }

// objectiveEnd returns when the objective of the step's occurrence ends.
func (s *step) objectiveEnd() time.Duration { return s.occurrence.objectiveFrom + s.job.objective }
