package event

// Events of a VM's server: its lifecycle, the platform, workers and the partitions it owns.
var (
	ServerStarted = Define(Definition{ID: 1001, Name: "server-started", Level: Info,
		Summary: "The VM serves its addresses.", Action: "Nothing.",
		Keys: []string{"http", "peer", "settings"}})
	HandlerPanicked = Define(Definition{ID: 1002, Name: "handler-panicked", Level: Error,
		Summary: "An HTTP handler panicked; its request was answered with may-have-run.", Action: "Report it with the surrounding log lines.",
		Keys: []string{"method", "path", "cause"}})
	ServerStopping = Define(Definition{ID: 1003, Name: "server-stopping", Level: Info,
		Summary: "A graceful shutdown began: the VM reports that it is not ready and accepts no new work.", Action: "Nothing.",
		Keys: []string{"step"}})
	ServerStopped = Define(Definition{ID: 1004, Name: "server-stopped", Level: Info,
		Summary: "A step of the graceful shutdown completed.", Action: "If a step failed, look for requests that were interrupted.",
		Keys: []string{"step", "took", "error"}})
	VMListFailed = Define(Definition{ID: 8101, Name: "vm-list-failed", Level: Warn,
		Summary: "The platform's VM list could not be read; the previous one stays in use.", Action: "If it lasts, check the platform.",
		Keys: []string{"error"}})
	WorkerCallFailed = Define(Definition{ID: 8102, Name: "worker-call-failed", Level: Debug,
		Summary: "A call to a worker failed.", Action: "Nothing: the partition decides when it receives the worker's next report.",
		Keys: []string{"worker", "call", "error"}})
	PartitionAcquired = Define(Definition{ID: 1101, Name: "partition-taken", Level: Info,
		Summary: "This VM owns the partition as of this epoch.", Action: "Nothing.",
		Keys: []string{"partition", "epoch", "previous_owner", "records", "ms"}})
	PartitionReleased = Define(Definition{ID: 1102, Name: "partition-released", Level: Info,
		Summary: "This VM released the partition so that its preferred owner can acquire it.", Action: "Nothing.",
		Keys: []string{"partition", "epoch"}})
	TakeoverFailed = Define(Definition{ID: 1104, Name: "takeover-failed", Level: Warn,
		Summary: "A partition could not be acquired or released; it is retried.", Action: "If it lasts, check the platform's store.",
		Keys: []string{"partition", "error"}})
	LayoutFailed = Define(Definition{ID: 1105, Name: "layout-failed", Level: Warn,
		Summary: "The layout of the partitions could not be read or extended; it is retried.", Action: "If it lasts, check the platform's store.",
		Keys: []string{"error"}})
	JobHandedOver = Define(Definition{ID: 1110, Name: "job-handed-over", Level: Info,
		Summary: "A job that could not be placed in its home partition was offered to another partition, which accepted or rejected it.",
		Action:  "Nothing. If many jobs are handed over, check why their home partitions are full.",
		Keys:    []string{"job", "try", "partition", "answer", "error"}})
)
