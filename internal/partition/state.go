package partition

import (
	"slices"
	"time"

	"filbertcross/internal/model"
)

// taskPhase is the durable phase of a task.
type taskPhase int

const (
	taskWaiting taskPhase = iota
	taskOnWorker
	taskFinal // not placed again
)

// taskState is the durable state of a task, rebuilt from the log.
type taskState struct {
	Phase      taskPhase       `cbor:"1,keyasint,omitempty"`
	Attempt    int64           `cbor:"2,keyasint,omitempty"` // attempt number of the newest placement
	Worker     model.WorkerID  `cbor:"3,keyasint,omitempty"`
	Boot       string          `cbor:"4,keyasint,omitempty"`
	Size       model.Resources `cbor:"5,keyasint,omitempty"`
	Epoch      int64           `cbor:"6,keyasint,omitempty"`
	Outcome    model.Outcome   `cbor:"7,keyasint,omitempty"` // outcome of the newest ended attempt
	Checkpoint string          `cbor:"8,keyasint,omitempty"`
}

// jobState is the durable state of a job, rebuilt from the log.
type jobState struct {
	Job      model.Job   `cbor:"1,keyasint"`
	Tasks    []taskState `cbor:"2,keyasint"`
	Canceled bool        `cbor:"3,keyasint,omitempty"`
	Order    int64       `cbor:"5,keyasint"` // position in the order of submission
	EndedAt  time.Time   `cbor:"6,keyasint"` // when its last task ended; zero: not ended

	HandedTo      model.PartitionID   `cbor:"7,keyasint,omitempty"`  // partition that schedules the job; empty: this one
	Acknowledged  bool                `cbor:"8,keyasint,omitempty"`  // HandedTo has logged the job
	Path          []model.PartitionID `cbor:"9,keyasint,omitempty"`  // partitions that have had the job
	HandoverTries int                 `cbor:"11,keyasint,omitempty"` // handovers started, including rejected ones
	Rejected      bool                `cbor:"10,keyasint,omitempty"` // permanently rejected when handed over to here; has no tasks
}

// jobKey identifies a submission by branch and idempotency key.
type jobKey struct {
	branch model.BranchID
	key    string
}

// state is the result of applying the log's records in order. Only the owner's
// goroutine uses it.
type state struct {
	jobs      map[model.JobID]*jobState
	keys      map[jobKey]model.JobID
	lastOrder int64
}

func newState() *state {
	return &state{jobs: map[model.JobID]*jobState{}, keys: map[jobKey]model.JobID{}}
}

// restoreState rebuilds the state from a snapshot and the records after it.
func restoreState(snapshot []byte, records [][]byte) (*state, error) {
	s := newState()
	if snapshot != nil {
		jobs, err := decode[[]*jobState](snapshot)
		if err != nil {
			return nil, err
		}
		for _, j := range jobs {
			s.add(j)
		}
	}
	for _, b := range records {
		r, err := decode[logRecord](b)
		if err != nil {
			return nil, err
		}
		s.apply(r)
	}
	return s, nil
}

// encode returns the state as a snapshot.
func (s *state) encode() []byte { return encode(s.ordered()) }

// ordered lists the jobs in the order of submission.
func (s *state) ordered() []*jobState {
	jobs := make([]*jobState, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *jobState) int { return int(a.Order - b.Order) })
	return jobs
}

func (s *state) add(j *jobState) {
	s.jobs[j.Job.ID] = j
	s.lastOrder = max(s.lastOrder, j.Order)
	if j.Job.IdempotencyKey != "" && !j.Rejected {
		s.keys[jobKey{j.Job.Branch, j.Job.IdempotencyKey}] = j.Job.ID
	}
}

// remove deletes a job and its idempotency key.
func (s *state) remove(j *jobState) {
	delete(s.jobs, j.Job.ID)
	delete(s.keys, jobKey{j.Job.Branch, j.Job.IdempotencyKey})
}

// task returns the state of a task, or nil if the task is unknown.
func (s *state) task(id model.TaskID) *taskState {
	job, index, ok := splitTask(id)
	if !ok {
		return nil
	}
	j := s.jobs[job]
	if j == nil || index < 0 || index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[index]
}

// apply applies one durable record. A record of an unknown job or of an older attempt
// has no effect.
func (s *state) apply(r logRecord) {
	switch {
	case r.Submitted != nil:
		s.applySubmitted(r.Submitted.Job)
	case r.Canceled != nil:
		if j := s.jobs[r.Canceled.Job]; j != nil {
			j.Canceled = true
			j.recordEnd(r.Canceled.At)
		}
	case r.Placed != nil:
		s.applyPlaced(*r.Placed)
	case r.Ended != nil:
		s.applyEnded(*r.Ended)
	case r.Handover != nil:
		s.applyHandover(*r.Handover)
	case r.HandoverReceived != nil:
		s.applyHandoverReceived(*r.HandoverReceived)
	}
}

func (s *state) applySubmitted(job model.Job) {
	if s.jobs[job.ID] != nil {
		return
	}
	s.add(&jobState{Job: job, Tasks: make([]taskState, job.Tasks), Order: s.lastOrder + 1})
}

func (s *state) applyPlaced(p taskPlaced) {
	t := s.task(p.Task)
	if t == nil || p.Attempt <= t.Attempt {
		return
	}
	t.Phase, t.Attempt = taskOnWorker, p.Attempt
	t.Worker, t.Boot, t.Size, t.Epoch = p.Worker, p.Boot, p.Size, p.Epoch
}

func (s *state) applyEnded(e taskEnded) {
	t := s.task(e.Task)
	if t == nil || e.Attempt != t.Attempt || t.Phase != taskOnWorker {
		return
	}
	t.Phase, t.Outcome = taskWaiting, e.Outcome
	if e.Final {
		t.Phase = taskFinal
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	job, _, _ := splitTask(e.Task)
	s.jobs[job].recordEnd(e.At)
}

// recordEnd sets EndedAt when the job has ended and no end time is set yet.
func (j *jobState) recordEnd(at time.Time) {
	if j.EndedAt.IsZero() && j.ended() {
		j.EndedAt = at
	}
}

// ended reports whether no task of the job is on a worker or will be placed again.
func (j *jobState) ended() bool {
	for _, t := range j.Tasks {
		if t.Phase == taskOnWorker || (t.Phase == taskWaiting && !j.Canceled) {
			return false
		}
	}
	return true
}
