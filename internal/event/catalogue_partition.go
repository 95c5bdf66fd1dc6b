package event

// Events of partitions and leases.
var (
	PartitionDeposed = Define(Def{ID: 3003, Name: "partition-deposed", Level: Warn,
		Text: "Another VM owns the partition; this one stopped deciding for it.",
		Does: "Nothing once; if it repeats, look for paused VMs or a slow store.",
		Keys: []string{"partition", "epoch", "reason"}})
	PartitionRecovered = Define(Def{ID: 3004, Name: "partition-recovered", Level: Info,
		Text: "All tasks of earlier epochs are adopted or proved not running.",
		Does: "Nothing.",
		Keys: []string{"partition", "epoch"}})
	TaskPlaced = Define(Def{ID: 3010, Name: "task-placed", Level: Debug,
		Text: "The placement is durable.",
		Does: "Nothing.",
		Keys: []string{"partition", "epoch", "task", "attempt", "worker"}})
	TaskStarted = Define(Def{ID: 3011, Name: "task-started", Level: Debug,
		Text: "The worker runs the task.",
		Does: "Nothing.",
		Keys: []string{"partition", "epoch", "task", "attempt", "worker"}})
	TaskEnded = Define(Def{ID: 3012, Name: "task-ended", Level: Debug,
		Text: "The attempt is not running any more.",
		Does: "Nothing.",
		Keys: []string{"partition", "epoch", "task", "attempt", "worker", "outcome", "reason"}})
	TaskPreempted = Define(Def{ID: 3013, Name: "task-preempted", Level: Info,
		Text: "The task is checkpointed and stopped for another branch's gain.",
		Does: "Check the shares if a branch loses often.",
		Keys: []string{"partition", "task", "worker", "branch", "beneficiary", "reason"}})
	ForeignTask = Define(Def{ID: 3014, Name: "foreign-task", Level: Warn,
		Text: "The worker runs a task that the log does not grant; it is stopped, and the worker gets nothing new before.",
		Does: "Nothing once; if it repeats, see that nobody else starts tasks there.",
		Keys: []string{"partition", "epoch", "task", "attempt", "worker"}})
	WorkerGone = Define(Def{ID: 3020, Name: "worker-gone", Level: Warn,
		Text: "The platform's list dropped the worker.",
		Does: "Nothing.",
		Keys: []string{"partition", "worker"}})
	WorkerRestarted = Define(Def{ID: 3021, Name: "worker-restarted", Level: Warn,
		Text: "The worker restarted; tasks of its earlier boot are not running.",
		Does: "Nothing.",
		Keys: []string{"partition", "worker"}})
	InvariantBroken = Define(Def{ID: 3090, Name: "invariant-broken", Level: Error,
		Text: "A decision would have broken an invariant and was not carried out.",
		Does: "Report it with the time line.",
		Keys: []string{"partition", "epoch", "task", "worker", "reason"}})
)
