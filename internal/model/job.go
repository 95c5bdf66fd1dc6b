package model

import "time"

// Identifiers. They are opaque strings, unique in the cluster.
type (
	// BranchID identifies a branch, as written in the operators' sheet.
	BranchID string
	// WorkloadID identifies a workload within its branch.
	WorkloadID string
	// JobID identifies a job; its prefix up to the last '~' is the home partition.
	JobID string
	// TaskID identifies a task: the job's id, a slash, and the task's index.
	TaskID string
	// WorkerID identifies a worker, as in the platform's list.
	WorkerID string
	// VMID identifies an entry VM; it changes with every start of the process.
	VMID string
	// PartitionID identifies a partition of the workers or of the idempotency keys.
	PartitionID string
	// FailureDomain identifies a failure domain.
	FailureDomain string
)

// Kind is the placement policy of a workload's tasks.
type Kind string

// Kinds of workload.
const (
	KindInteractive Kind = "interactive" // requests forwarded to backend servers; never placed
	KindService     Kind = "service"     // long-running tasks; spread and restarted
	KindBatch       Kind = "batch"       // finite tasks; packed and backfilled
	KindGang        Kind = "gang"        // tasks that run only all at the same time
)

// Tier orders workloads ahead of fair sharing; a lower number has precedence.
type Tier int

// Tiers of the sheet.
const (
	TierUrgent Tier = iota // a person waits for the result; starts within UrgentStartTarget
	TierHigh
	TierNormal
	TierLow
	TierCount
)

// UrgentStartTarget is the time within which a task of TierUrgent starts.
const UrgentStartTarget = 4 * time.Second

// Branch is a branch or client account with a share of the cluster.
type Branch struct {
	ID    BranchID  `json:"id" cbor:"1,keyasint"`
	Share int64     `json:"share" cbor:"2,keyasint"` // weight, at least 1
	Quota Resources `json:"quota" cbor:"3,keyasint"` // upper bound; a zero component is unbounded
}

// Workload is one row of the operators' sheet.
type Workload struct {
	Branch   BranchID      `json:"branch" cbor:"1,keyasint"`
	ID       WorkloadID    `json:"workload" cbor:"2,keyasint"`
	Kind     Kind          `json:"kind" cbor:"3,keyasint"`
	Tier     Tier          `json:"tier" cbor:"4,keyasint"`
	Share    int64         `json:"share" cbor:"5,keyasint"`    // the branch's weight; equal in all rows of a branch
	Deadline time.Duration `json:"deadline" cbor:"6,keyasint"` // from submission; 0: none
	Tasks    int           `json:"tasks" cbor:"7,keyasint"`
	Size     Resources     `json:"size" cbor:"8,keyasint"`     // of one task
	Runtime  time.Duration `json:"runtime" cbor:"9,keyasint"`  // declared; 0: unknown
	Service  string        `json:"service" cbor:"10,keyasint"` // for interactive workloads: the service of the backend servers
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
	Submitted      time.Time     `json:"submitted" cbor:"9,keyasint"`        // wall clock of the VM that accepted the job
	Deadline       time.Time     `json:"deadline" cbor:"10,keyasint"`        // zero: none
	IdempotencyKey string        `json:"idempotency_key" cbor:"11,keyasint"` // empty: none
	Restartable    bool          `json:"restartable" cbor:"12,keyasint"`     // false: a task that may have run is never started again
}

// Outcome is how a task's run ended.
type Outcome int

// Outcomes of a run.
const (
	OutcomeDone       Outcome = iota // completed; the task is never run again
	OutcomeFailed                    // exited with an error
	OutcomeLost                      // its worker is gone or its lease expired
	OutcomePreempted                 // stopped to free capacity; work since the last checkpoint is lost
	OutcomeCanceled                  // stopped because its job was canceled
	OutcomeNotStarted                // the start command was rejected or never sent; nothing ran
)

func (o Outcome) String() string {
	names := [...]string{"done", "failed", "lost", "preempted", "canceled", "not-started"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
