package fleet

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// JobID identifies a submission. The caller chooses it; it serves as the idempotency key.
type JobID string

// StepID identifies one step of one occurrence of a submission.
type StepID struct {
	Job        JobID
	Occurrence int // 0 for a submission that runs once
	Step       int
}

// TaskID identifies one task of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns JOB.OCCURRENCE.STEP.INDEX, which the wire uses as the task's name.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// String returns JOB.OCCURRENCE.STEP, which the wire uses as the step's name.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks          int             `cbor:"1,keyasint"`
	Demand         model.Resources `cbor:"2,keyasint"` // of each task
	Estimate       time.Duration   `cbor:"3,keyasint"` // declared run time; imprecise
	After          []int           `cbor:"4,keyasint"` // indices of the steps whose tasks must all be done first
	Checkpointing  bool            `cbor:"5,keyasint"`
	Gang           bool            `cbor:"6,keyasint"`  // the tasks run and end together
	SameRack       bool            `cbor:"7,keyasint"`  // tasks run slower when spread over racks
	RequiredLabel  string          `cbor:"8,keyasint"`  // only workers with this label; empty: any worker
	PreferredRack  string          `cbor:"9,keyasint"`  // tasks run slower on other racks; empty: none
	MaxPerWorker   int             `cbor:"10,keyasint"` // tasks of one occurrence on one worker; 0: unbounded
	Speculative    bool            `cbor:"11,keyasint"` // copies of a task may run at the same time
	LongRunning    bool            `cbor:"12,keyasint"` // runs until canceled; restarted whatever the outcome
	Image          string          `cbor:"13,keyasint"`
	LatencyTarget  time.Duration   `cbor:"14,keyasint"` // of the requests that the task serves; 0: it serves none
	Filler         bool            `cbor:"15,keyasint"` // uses idle CPU; its CPU demand is not counted
	MaxUnavailable int             `cbor:"16,keyasint"` // disruption budget; 0: none declared
}

// Submission is an accepted job as stored. It is immutable.
type Submission struct {
	ID          JobID         `cbor:"1,keyasint"`
	Queue       string        `cbor:"2,keyasint"`
	Service     string        `cbor:"3,keyasint"` // worker pool of the queue at acceptance
	Spec        string        `cbor:"4,keyasint"` // opaque; passed to the worker
	Steps       []Step        `cbor:"5,keyasint"`
	Occurrences int           `cbor:"6,keyasint"` // number of scheduled runs; 0: runs once, immediately
	FirstRun    time.Time     `cbor:"7,keyasint"`
	Interval    time.Duration `cbor:"8,keyasint"`
	Received    time.Time     `cbor:"9,keyasint"`            // wall clock of the VM that accepted it
	Account     string        `cbor:"10,keyasint,omitempty"` // name of the client account that handed it in; empty: none
	// Settings are those of the queue at acceptance; zero in entries of earlier releases.
	Settings QueueSettings `cbor:"11,keyasint,omitempty"`
	// LargeOccurrences is set in the store only, see Stored.
	LargeOccurrences int `cbor:"12,keyasint,omitempty"`
}

// leftOut is the number of occurrences with which an entry is invalid to earlier releases.
const leftOut = -1

// Stored returns the submission as it is stored. Earlier releases end when they load as many occurrences as
// a large submission may have, and would run what its progress lists as ranges again. So it is stored in a form
// that they leave out.
func (s *Submission) Stored() *Submission {
	if !s.IsLarge() {
		return s
	}
	stored := *s
	stored.Occurrences, stored.LargeOccurrences = leftOut, s.Occurrences
	return &stored
}

// Normalize undoes Stored, and limits the durations of a stored submission to those that the scheduler computes with.
// Earlier releases accepted longer ones, which became negative on some processors.
func (s *Submission) Normalize() {
	if s.Occurrences == leftOut {
		s.Occurrences, s.LargeOccurrences = s.LargeOccurrences, 0
	}
	limit := func(d *time.Duration) {
		if *d < 0 || *d > MaxDuration {
			*d = MaxDuration
		}
	}
	for i := range s.Steps {
		limit(&s.Steps[i].Estimate)
		limit(&s.Steps[i].LatencyTarget)
	}
	if s.Interval < 0 {
		s.Interval = math.MaxInt64
	}
}

// Validate returns an error if the submission cannot be scheduled, as it has no steps or its steps
// depend on later ones. A stored entry that another program wrote, or that is damaged, may be so.
func (s *Submission) Validate() error {
	if s.ID == "" || len(s.Steps) == 0 || s.Occurrences < 0 {
		return errors.New("submission without id or steps, or with a negative number of occurrences")
	}
	for i, step := range s.Steps {
		if step.Tasks < 1 || step.Demand.HasNegative() || step.Estimate < 0 {
			return errors.Newf("step %d: no tasks, or a negative amount", i)
		}
		for _, a := range step.After {
			if a < 0 || a >= i {
				return errors.Newf("step %d depends on step %d", i, a)
			}
		}
	}
	return nil
}

// listedTasks is the number of tasks of all occurrences up to which the progress of a submission lists
// each completed task, as earlier releases read it.
const listedTasks = 10_000

// IsLarge reports whether the submission has so many tasks that its progress is stored as ranges.
func (s *Submission) IsLarge() bool {
	occurrences := max(s.Occurrences, 1)
	left := listedTasks
	for i := range s.Steps {
		if s.Steps[i].Tasks > left/occurrences {
			return true
		}
		left -= s.Steps[i].Tasks * occurrences
	}
	return false
}

// Compacted returns what is stored of the submission once its final state is stored: as much as is
// needed to recognize a repeated request.
func (s *Submission) Compacted() *Submission {
	return &Submission{ID: s.ID, Queue: s.Queue, Service: s.Service, Received: s.Received, Account: s.Account}
}

// IsCompacted reports whether this is all that is stored of a finished submission.
func (s *Submission) IsCompacted() bool { return s.ID != "" && len(s.Steps) == 0 }

// HasSchedule reports whether the submission runs at given times.
func (s *Submission) HasSchedule() bool { return s.Occurrences > 0 }

// Status is what is known of a submission.
type Status struct {
	State   State
	Account string // that handed it in; empty: none
	Cause   string // why it has failed; empty in all other states
}

// VisibleTo reports whether a caller with the account, empty for none, may see the submission.
func (s Status) VisibleTo(account string) bool { return s.Account == "" || s.Account == account }

// State is the state of a submission as reported to callers.
type State int

// States of a submission; StateUnknown means that no such submission exists.
const (
	StateUnknown State = iota
	StatePending
	StateRunning
	StateCompleted
	StateFailed
	StateCanceled
)

func (s State) String() string {
	return [...]string{"unknown", "pending", "running", "completed", "failed", "canceled"}[s]
}

// Final reports whether the state is terminal.
func (s State) Final() bool { return s >= StateCompleted }
