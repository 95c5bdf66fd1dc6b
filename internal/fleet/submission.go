package fleet

import (
	"strconv"
	"time"

	"filbertcross/internal/model"
)

// JobID names a submission; the caller chooses it, and it is its idempotency key.
type JobID string

// StepID names one step of one occurrence of a submission.
type StepID struct {
	Job        JobID
	Occurrence int // 0 for a submission that runs once
	Step       int
}

// TaskID names a task of a step.
type TaskID struct {
	StepID
	Index int
}

// String renders the task for logs.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// String renders the step for logs.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Step is a set of equal tasks.
type Step struct {
	Tasks          int             `cbor:"1,keyasint"`
	Demand         model.Resources `cbor:"2,keyasint"` // of each task
	Estimate       time.Duration   `cbor:"3,keyasint"` // declared run time; rough
	After          []int           `cbor:"4,keyasint"` // steps whose tasks must all be done first
	Checkpointing  bool            `cbor:"5,keyasint"`
	Gang           bool            `cbor:"6,keyasint"`  // the tasks work and end together
	SameRack       bool            `cbor:"7,keyasint"`  // slower when spread over racks
	RequiredLabel  string          `cbor:"8,keyasint"`  // empty: any worker
	PreferredRack  string          `cbor:"9,keyasint"`  // slower elsewhere; empty: none
	MaxPerWorker   int             `cbor:"10,keyasint"` // of one occurrence; 0: no bound
	Speculative    bool            `cbor:"11,keyasint"` // copies may run side by side
	LongRunning    bool            `cbor:"12,keyasint"` // runs until cancelled, restarted however it ends
	Image          string          `cbor:"13,keyasint"`
	LatencyTarget  time.Duration   `cbor:"14,keyasint"` // of what the task serves; 0: it serves nobody
	Filler         bool            `cbor:"15,keyasint"` // uses processor time that others leave; its CPU is not counted
	MaxUnavailable int             `cbor:"16,keyasint"` // disruption budget; 0: none declared
}

// Submission is an accepted job as it lies in the store. It never changes.
type Submission struct {
	ID          JobID         `cbor:"1,keyasint"`
	Queue       string        `cbor:"2,keyasint"`
	Service     string        `cbor:"3,keyasint"` // pool of the queue when it was accepted
	Spec        string        `cbor:"4,keyasint"` // opaque, handed to the worker
	Steps       []Step        `cbor:"5,keyasint"`
	Occurrences int           `cbor:"6,keyasint"` // 0: runs once, at once
	FirstRun    time.Time     `cbor:"7,keyasint"`
	Interval    time.Duration `cbor:"8,keyasint"`
	Received    time.Time     `cbor:"9,keyasint"` // wall clock of the VM that took it
}

// HasSchedule reports whether the submission runs at set times.
func (s *Submission) HasSchedule() bool { return s.Occurrences > 0 }

// State is what a caller is told of a submission.
type State int

// The states; StateUnknown means that no such submission exists.
const (
	StateUnknown State = iota
	StatePending
	StateRunning
	StateCompleted
	StateFailed
	StateCanceled
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"unknown", "pending", "running", "completed", "failed", "canceled"}[s]
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= StateCompleted }
