package event

// Events of the server of a VM.
var (
	ServerStarted = Define(Definition{ID: 1001, Name: "server-started", Level: Info,
		Summary: "The VM serves its addresses.", Action: "Nothing.",
		Keys: []string{"http", "peer", "settings"}})
	HandlerPanicked = Define(Definition{ID: 1002, Name: "handler-panicked", Level: Error,
		Summary: "A handler of the HTTP interface failed; its request was answered with may-have-run.", Action: "Report it with the log around it.",
		Keys: []string{"method", "path", "cause"}})
	ServerStopping = Define(Definition{ID: 1003, Name: "server-stopping", Level: Info,
		Summary: "A graceful stop began: the VM is not ready and takes no new work.", Action: "Nothing.",
		Keys: []string{"step"}})
	ServerStopped = Define(Definition{ID: 1004, Name: "server-stopped", Level: Info,
		Summary: "A step of the graceful stop is done.", Action: "If a step failed, look for requests that were cut off.",
		Keys: []string{"step", "took", "error"}})
	VMListFailed = Define(Definition{ID: 8101, Name: "vm-list-failed", Level: Warn,
		Summary: "The platform's list could not be read; the last one stays in use.", Action: "Look at the platform if it lasts.",
		Keys: []string{"error"}})
	WorkerCallFailed = Define(Definition{ID: 8102, Name: "worker-call-failed", Level: Debug,
		Summary: "A call to a worker failed.", Action: "Nothing: the partition decides by its next report.",
		Keys: []string{"worker", "call", "error"}})
	PartitionAcquired = Define(Definition{ID: 1101, Name: "partition-taken", Level: Info,
		Summary: "This VM owns the partition from this epoch on.", Action: "Nothing.",
		Keys: []string{"partition", "epoch", "previous_owner", "records", "ms"}})
	PartitionReleased = Define(Definition{ID: 1102, Name: "partition-released", Level: Info,
		Summary: "This VM gave the partition up for the VM that is wanted as its owner.", Action: "Nothing.",
		Keys: []string{"partition", "epoch"}})
	TakeoverFailed = Define(Definition{ID: 1104, Name: "takeover-failed", Level: Warn,
		Summary: "A partition could not be taken over or given up; it is tried again.", Action: "Look at the platform's store if it lasts.",
		Keys: []string{"partition", "error"}})
	LayoutFailed = Define(Definition{ID: 1105, Name: "layout-failed", Level: Warn,
		Summary: "The layout of the partitions could not be read or extended; it is tried again.", Action: "Look at the platform's store if it lasts.",
		Keys: []string{"error"}})
	JobHandedOver = Define(Definition{ID: 1110, Name: "job-handed-over", Level: Info,
		Summary: "A job that found no place at home was offered to another partition, which took it or refused it.",
		Action:  "Nothing; if many jobs move, see why their home is full.",
		Keys:    []string{"job", "try", "partition", "answer", "error"}})
)
