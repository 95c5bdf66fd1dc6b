package event

// Events of the server of a VM.
var (
	ServerStarted = Define(Def{ID: 1001, Name: "server-started", Level: Info,
		Text: "The VM serves its addresses.", Does: "Nothing.",
		Keys: []string{"http", "peer", "settings"}})
	HandlerPanicked = Define(Def{ID: 1002, Name: "handler-panicked", Level: Error,
		Text: "A handler of the HTTP interface failed; its request was answered with may-have-run.", Does: "Report it with the log around it.",
		Keys: []string{"method", "path", "cause"}})
	ServerStopping = Define(Def{ID: 1003, Name: "server-stopping", Level: Info,
		Text: "A graceful stop began: the VM is not ready and takes no new work.", Does: "Nothing.",
		Keys: []string{"step"}})
	ServerStopped = Define(Def{ID: 1004, Name: "server-stopped", Level: Info,
		Text: "A step of the graceful stop is done.", Does: "If a step failed, look for requests that were cut off.",
		Keys: []string{"step", "took", "error"}})
	VMListFailed = Define(Def{ID: 8101, Name: "vm-list-failed", Level: Warn,
		Text: "The platform's list could not be read; the last one stays in use.", Does: "Look at the platform if it lasts.",
		Keys: []string{"error"}})
	WorkerCallFailed = Define(Def{ID: 8102, Name: "worker-call-failed", Level: Debug,
		Text: "A call to a worker failed.", Does: "Nothing: the partition decides by its next report.",
		Keys: []string{"worker", "call", "error"}})
	PartitionTaken = Define(Def{ID: 1101, Name: "partition-taken", Level: Info,
		Text: "This VM owns the partition from this epoch on.", Does: "Nothing.",
		Keys: []string{"partition", "epoch", "previous_owner", "records", "ms"}})
	PartitionReleased = Define(Def{ID: 1102, Name: "partition-released", Level: Info,
		Text: "This VM gave the partition up for the VM that is wanted as its owner.", Does: "Nothing.",
		Keys: []string{"partition", "epoch"}})
	TakeoverFailed = Define(Def{ID: 1104, Name: "takeover-failed", Level: Warn,
		Text: "A partition could not be taken over or given up; it is tried again.", Does: "Look at the platform's store if it lasts.",
		Keys: []string{"partition", "error"}})
	LayoutFailed = Define(Def{ID: 1105, Name: "layout-failed", Level: Warn,
		Text: "The layout of the partitions could not be read or extended; it is tried again.", Does: "Look at the platform's store if it lasts.",
		Keys: []string{"error"}})
	JobHandedOver = Define(Def{ID: 1110, Name: "job-handed-over", Level: Info,
		Text: "A job that found no place at home was offered to another partition, which took it or refused it.",
		Does: "Nothing; if many jobs move, see why their home is full.",
		Keys: []string{"job", "try", "partition", "answer", "error"}})
)
