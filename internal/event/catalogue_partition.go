package event

// Events of partitions and leases.
var (
	PartitionOwnershipLost = Define(Definition{ID: 3003, Name: "partition-deposed", Level: Warn,
		Summary: "This VM lost ownership of the partition to another VM and stopped making decisions for it.",
		Action:  "Nothing for a single event. If it repeats, look for paused VMs or a slow store.",
		Keys:    []string{"partition", "epoch", "reason"}})
	PartitionRecovered = Define(Definition{ID: 3004, Name: "partition-recovered", Level: Info,
		Summary: "All tasks of earlier epochs have been adopted or are proved not to be running.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch"}})
	TaskPlaced = Define(Definition{ID: 3010, Name: "task-placed", Level: Debug,
		Summary: "The placement of a task is durable.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker"}})
	TaskStarted = Define(Definition{ID: 3011, Name: "task-started", Level: Debug,
		Summary: "The worker runs the task.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker"}})
	TaskTerminated = Define(Definition{ID: 3012, Name: "task-ended", Level: Debug,
		Summary: "The attempt is no longer running.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker", "outcome", "reason"}})
	TaskPreempted = Define(Definition{ID: 3013, Name: "task-preempted", Level: Info,
		Summary: "The task is checkpointed and stopped in favor of another branch.",
		Action:  "If a branch is preempted often, check the shares.",
		Keys:    []string{"partition", "task", "worker", "branch", "beneficiary", "reason"}})
	UnexpectedTask = Define(Definition{ID: 3014, Name: "foreign-task", Level: Warn,
		Summary: "The worker runs a task that has no grant in the log; the task is stopped, and the worker gets no new tasks until it has stopped.",
		Action:  "Nothing for a single event. If it repeats, make sure that nothing else starts tasks there.",
		Keys:    []string{"partition", "epoch", "task", "attempt", "worker"}})
	WorkerRemoved = Define(Definition{ID: 3020, Name: "worker-gone", Level: Warn,
		Summary: "The worker is no longer in the platform's list.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "worker"}})
	WorkerRestarted = Define(Definition{ID: 3021, Name: "worker-restarted", Level: Warn,
		Summary: "The worker was restarted; tasks of its earlier incarnation are not running.",
		Action:  "Nothing.",
		Keys:    []string{"partition", "worker"}})
	InvariantViolated = Define(Definition{ID: 3090, Name: "invariant-broken", Level: Error,
		Summary: "A decision would have violated an invariant and was not applied.",
		Action:  "Report it together with the timeline.",
		Keys:    []string{"partition", "epoch", "task", "worker", "reason"}})
)
