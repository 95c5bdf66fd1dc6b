package model

import "time"

// Identifiers. They are opaque strings, unique in the cluster.
type (
	// BranchID names a branch as the operators' sheet writes it.
	BranchID string
	// WorkloadID names a workload within its branch.
	WorkloadID string
	// JobID names a job; its prefix up to the last '~' is the home partition.
	JobID string
	// TaskID names a task: the job's id, a slash, and the task's index.
	TaskID string
	// WorkerID names a worker as the platform's list does.
	WorkerID string
	// VMID names an entry VM; it changes with every start of the process.
	VMID string
	// PartitionID names a partition of the workers or of the idempotency keys.
	PartitionID string
	// FailureDomain names a failure domain.
	FailureDomain string
)

// Kind is the policy under which a workload's tasks are placed.
type Kind string

// The kinds of workload.
const (
	KindInteractive Kind = "interactive" // requests forwarded to backend servers; never placed
	KindService     Kind = "service"     // long-running tasks, spread and kept alive
	KindBatch       Kind = "batch"       // tasks that end, packed and backfilled
	KindGang        Kind = "gang"        // tasks that run only all together
)

// Tier orders workloads before fair sharing; a lower number goes first.
type Tier int

// The tiers of the sheet.
const (
	TierUrgent Tier = iota // a person waits; starts within UrgentStartTarget
	TierHigh
	TierNormal
	TierLow
	TierCount
)

// UrgentStartTarget is the time within which a task of TierUrgent starts.
const UrgentStartTarget = 4 * time.Second

// Branch is a customer with a share of the cluster.
type Branch struct {
	ID    BranchID  `json:"id" cbor:"1,keyasint"`
	Share int64     `json:"share" cbor:"2,keyasint"` // weight, at least 1
	Quota Resources `json:"quota" cbor:"3,keyasint"` // upper bound; zero components are unbounded
}

// Workload is one row of the operators' sheet.
type Workload struct {
	Branch   BranchID      `json:"branch" cbor:"1,keyasint"`
	ID       WorkloadID    `json:"workload" cbor:"2,keyasint"`
	Kind     Kind          `json:"kind" cbor:"3,keyasint"`
	Tier     Tier          `json:"tier" cbor:"4,keyasint"`
	Share    int64         `json:"share" cbor:"5,keyasint"`    // the branch's weight; the same in all rows of a branch
	Deadline time.Duration `json:"deadline" cbor:"6,keyasint"` // from submission; 0: none
	Tasks    int           `json:"tasks" cbor:"7,keyasint"`
	Size     Resources     `json:"size" cbor:"8,keyasint"`     // of one task
	Runtime  time.Duration `json:"runtime" cbor:"9,keyasint"`  // declared; 0: unknown
	Service  string        `json:"service" cbor:"10,keyasint"` // of interactive workloads: the backend servers' service
}

// Job is a submitted run of a workload.
type Job struct {
	ID             JobID         `json:"id" cbor:"1,keyasint"`
	Branch         BranchID      `json:"branch" cbor:"2,keyasint"`
	Workload       WorkloadID    `json:"workload" cbor:"3,keyasint"`
	Kind           Kind          `json:"kind" cbor:"4,keyasint"`
	Tier           Tier          `json:"tier" cbor:"5,keyasint"`
	Tasks          int           `json:"tasks" cbor:"6,keyasint"`
	Size           Resources     `json:"size" cbor:"7,keyasint"`             // declared, of one task
	Runtime        time.Duration `json:"runtime" cbor:"8,keyasint"`          // declared; 0: unknown
	Submitted      time.Time     `json:"submitted" cbor:"9,keyasint"`        // wall clock of the VM that took the job
	Deadline       time.Time     `json:"deadline" cbor:"10,keyasint"`        // zero: none
	IdempotencyKey string        `json:"idempotency_key" cbor:"11,keyasint"` // empty: none
	Restartable    bool          `json:"restartable" cbor:"12,keyasint"`     // false: a task that may have run is not run again
}

// Outcome says how a task's run ended.
type Outcome int

// The outcomes of a run.
const (
	OutcomeDone       Outcome = iota // finished; never run again
	OutcomeFailed                    // exited with an error
	OutcomeLost                      // its worker is gone or its lease lapsed
	OutcomePreempted                 // stopped to make room; work since the last checkpoint is lost
	OutcomeCanceled                  // stopped because its job was cancelled
	OutcomeNotStarted                // the start was refused or never sent; nothing ran
)

// String names the outcome for logs.
func (o Outcome) String() string {
	names := [...]string{"done", "failed", "lost", "preempted", "canceled", "not-started"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
