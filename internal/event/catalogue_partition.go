package event

// Events of partitions and leases.
var (
	PartitionOwnershipLost = Define(Definition{ID: 3003, Name: "partition-deposed", Level: Warn,
		Summary: "Another VM owns the partition; this one stopped deciding for it.",
		Action:  "Nothing once; if it repeats, look for paused VMs or a slow store.",
		Keys:    []string{"partition", "epoch", "reason"}})
	PartitionRecovered = Define(Definition{ID: 3004, Name: "partition-recovered", Level: Info,
		Summary: "All tasks of earlier epochs are adopted or proved not running.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch"}})
	TaskPlaced = Define(Definition{ID: 3010, Name: "task-placed", Level: Debug,
		Summary: "The placement is durable.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker"}})
	TaskStarted = Define(Definition{ID: 3011, Name: "task-started", Level: Debug,
		Summary: "The worker runs the task.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker"}})
	TaskTerminated = Define(Definition{ID: 3012, Name: "task-ended", Level: Debug,
		Summary: "The attempt is not running any more.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker", "outcome", "reason"}})
	TaskPreempted = Define(Definition{ID: 3013, Name: "task-preempted", Level: Info,
		Summary: "The task is checkpointed and stopped for another branch's gain.",
		Action:  "Check the shares if a branch loses often.",
		Keys:    []string{"partition", "task", "worker", "branch", "beneficiary", "reason"}})
	UnexpectedTask = Define(Definition{ID: 3014, Name: "foreign-task", Level: Warn,
		Summary: "The worker runs a task that the log does not grant; it is stopped, and the worker gets nothing new before.",
		Action:  "Nothing once; if it repeats, see that nobody else starts tasks there.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker"}})
	WorkerRemoved = Define(Definition{ID: 3020, Name: "worker-gone", Level: Warn,
		Summary: "The platform's list dropped the worker.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "worker"}})
	WorkerRestarted = Define(Definition{ID: 3021, Name: "worker-restarted", Level: Warn,
		Summary: "The worker restarted; tasks of its earlier boot are not running.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "worker"}})
	InvariantViolated = Define(Definition{ID: 3090, Name: "invariant-broken", Level: Error,
		Summary: "A decision would have broken an invariant and was not carried out.",
		Action:  "Report it with the time line.",
		Keys:    []string{"partition", "epoch", "task", "worker", "reason"}})
)
