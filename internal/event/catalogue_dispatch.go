package event

// Events of the owner on the users' machines: what it decides and what it believes.
var (
	OwnerElected = Define(Definition{ID: 2100, Name: "owner-elected", Level: Info,
		Summary: "This VM decides from now on.",
		Action:  "Nothing once; if it repeats, look for VMs that cannot reach the store.",
		Keys:    []string{"fence", "why", "submissions", "workers"}})
	OwnerRecovered = Define(Definition{ID: 2101, Name: "owner-recovered", Level: Info,
		Summary: "All that an earlier owner started is adopted or proved not running.",
		Action:  "If it takes longer than the lease, look for workers that do not answer.",
		Keys:    []string{"fence", "took", "workers", "runs", "submissions"}})
	HandoverFailed = Define(Definition{ID: 2156, Name: "hand-over-failed", Level: Warn,
		Summary: "The VM that was to take over did not answer; another is elected when the lease has run out.",
		Action:  "Look at the links between the VMs.",
		Keys:    []string{"address", "error"}})
	WorkerReplaced = Define(Definition{ID: 2155, Name: "worker-replaced", Level: Info,
		Summary: "Another worker answers at the address: this one is dead, and its tasks start elsewhere.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "address", "runs"}})
	PreviousOwnerStopped = Define(Definition{ID: 2154, Name: "predecessor-ended", Level: Info,
		Summary: "The owner before decides no more; only its last leases have to run out.",
		Action:  "Nothing.",
		Keys:    []string{"owner", "address", "since"}})
	OwnershipLost = Define(Definition{ID: 2102, Name: "owner-deposed", Level: Warn,
		Summary: "Another VM decides; this one stopped.",
		Action:  "Nothing once; if it repeats, look for paused VMs or a slow store.",
		Keys:    []string{"fence", "why"}})
	OwnerLeaseUncertain = Define(Definition{ID: 2103, Name: "authority-lost", Level: Warn,
		Summary: "The owner's lease is not surely held; nothing is ordered.",
		Action:  "Look at the store's answers from this VM.",
		Keys:    []string{"fence", "age"}})
	OwnerLeaseConfirmed = Define(Definition{ID: 2104, Name: "authority-regained", Level: Info,
		Summary: "The owner's lease is held again.",
		Action:  "Nothing.",
		Keys:    []string{"fence", "lost_for"}})
	WaveReceived = Define(Definition{ID: 2150, Name: "wave-taken", Level: Info,
		Summary: "The owner knows a request of the operators to maintain machines.",
		Action:  "Nothing.",
		Keys:    []string{"wave", "machines", "max_parallel", "due_in", "completed"}})
	WaveCompleted = Define(Definition{ID: 2151, Name: "wave-completed", Level: Info,
		Summary: "Each machine of the wave that is still there has been maintained.",
		Action:  "If it was late, allow more machines at once or more time.",
		Keys:    []string{"wave", "machines", "behind"}})
	MaintenanceRequested = Define(Definition{ID: 2152, Name: "maintenance-ordered", Level: Info,
		Summary: "A machine without runs is ordered down.",
		Action:  "Nothing.",
		Keys:    []string{"wave", "machine", "down", "left", "due_in"}})
	MaintenanceRequestCompleted = Define(Definition{ID: 2153, Name: "maintenance-answered", Level: Info,
		Summary: "The order was answered, or was not.",
		Action:  "If a machine stays busy, look at its state at the control plane.",
		Keys:    []string{"wave", "machine", "error"}})
	OccurrenceDue = Define(Definition{ID: 2105, Name: "occurrence-due", Level: Info,
		Summary: "A timed submission's run is due.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "occurrence", "behind"}})
	SubmissionFinished = Define(Definition{ID: 2106, Name: "submission-ended", Level: Info,
		Summary: "The submission has its final state.",
		Action:  "For a failed one, follow its id through run-ended.",
		Keys:    []string{"submission", "state", "reason", "took", "objective"}})
	SubmissionReceived = Define(Definition{ID: 2107, Name: "submission-taken", Level: Info,
		Summary: "The owner knows the submission.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "queue", "steps", "revision", "age"}})
	CancelReceived = Define(Definition{ID: 2108, Name: "cancel-taken", Level: Info,
		Summary: "The owner knows that the caller cancelled the submission.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "state"}})
	RunPlaced = Define(Definition{ID: 2110, Name: "run-placed", Level: Info,
		Summary: "A worker was chosen and ordered to start a run.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "waited", "report_age", "free_cpu"}})
	StartFailed = Define(Definition{ID: 2111, Name: "start-failed", Level: Warn,
		Summary: "A start was refused or not answered.",
		Action:  "If one worker repeats it, look at that worker.",
		Keys:    []string{"worker", "task", "run", "error"}})
	RunTerminated = Define(Definition{ID: 2112, Name: "run-ended", Level: Info,
		Summary: "A worker listed the end of a run.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "outcome"}})
	RunStopped = Define(Definition{ID: 2113, Name: "run-stopped", Level: Info,
		Summary: "A run is being stopped.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "reason"}})
	RunAdopted = Define(Definition{ID: 2114, Name: "run-adopted", Level: Info,
		Summary: "A worker lists a run that this owner did not start.",
		Action:  "Nothing after a change of owner.",
		Keys:    []string{"worker", "task", "run", "stopped"}})
	UnknownRunFound = Define(Definition{ID: 2115, Name: "run-unknown", Level: Warn,
		Summary: "A worker lists a run of no known submission; it is stopped.",
		Action:  "See that nobody else starts tasks there.",
		Keys:    []string{"worker", "task", "run"}})
	RunMissing = Define(Definition{ID: 2116, Name: "run-vanished", Level: Warn,
		Summary: "A worker lists neither the run nor its end.",
		Action:  "Look at the worker if it repeats.",
		Keys:    []string{"worker", "task", "run"}})
	RunStalled = Define(Definition{ID: 2117, Name: "run-stalled", Level: Warn,
		Summary: "A run makes no progress; it is moved.",
		Action:  "If one worker repeats it, take it out.",
		Keys:    []string{"worker", "task", "run", "percent", "still_for"}})
	RunThrottled = Define(Definition{ID: 2118, Name: "run-paced", Level: Info,
		Summary: "A filler's share of processor time was changed.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "percent"}})
	SpeculativeRunStarted = Define(Definition{ID: 2121, Name: "run-copied", Level: Info,
		Summary: "A second run of a task is started, as the first may be lost or stuck.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "age", "percent"}})
	RunPreempted = Define(Definition{ID: 2122, Name: "run-preempted", Level: Info,
		Summary: "A run that checkpoints is stopped to make room for a more urgent step.",
		Action:  "If it happens all the time, the cluster is too small for its urgent queues.",
		Keys:    []string{"worker", "task", "run", "step"}})
	AdviceReceived = Define(Definition{ID: 2119, Name: "advice-taken", Level: Info,
		Summary: "The advice service said which workers may run a step.",
		Action:  "Nothing.",
		Keys:    []string{"step", "named", "allowed", "validity"}})
	AdviceFailed = Define(Definition{ID: 2120, Name: "advice-failed", Level: Warn,
		Summary: "A call for advice failed; it is repeated.",
		Action:  "Look at the advice service.",
		Keys:    []string{"step", "named", "error"}})
	WorkerListed = Define(Definition{ID: 2130, Name: "worker-listed", Level: Info,
		Summary: "The platform lists a worker.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "service", "address", "failure_domain"}})
	WorkerUnlisted = Define(Definition{ID: 2131, Name: "worker-unlisted", Level: Warn,
		Summary: "The platform lists the worker no more.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "runs"}})
	WorkerDraining = Define(Definition{ID: 2132, Name: "worker-draining", Level: Info,
		Summary: "The worker is about to leave.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "remaining"}})
	WorkerUnresponsive = Define(Definition{ID: 2133, Name: "worker-silent", Level: Warn,
		Summary: "A worker does not answer; it gets nothing new.",
		Action:  "Look at the worker and the links to it.",
		Keys:    []string{"worker", "silent_for", "runs", "error"}})
	WorkerResponding = Define(Definition{ID: 2134, Name: "worker-heard", Level: Info,
		Summary: "A worker answers again.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "silent_for", "failed_holds"}})
	WorkerLeaseExpired = Define(Definition{ID: 2135, Name: "worker-lapsed", Level: Warn,
		Summary: "The lease of a silent worker has run out; its runs are dead.",
		Action:  "Look at the worker.",
		Keys:    []string{"worker", "runs", "silent_for"}})
	WorkerIncarnationChanged = Define(Definition{ID: 2136, Name: "worker-reborn", Level: Warn,
		Summary: "Another incarnation of a worker answers; earlier runs are dead.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "before", "now", "runs"}})
	WorkerQuarantined = Define(Definition{ID: 2137, Name: "worker-quarantined", Level: Warn,
		Summary: "Runs of different submissions failed there in a row; it gets nothing new for a while.",
		Action:  "Look at the worker.",
		Keys:    []string{"worker", "failures", "for"}})
	WorkerEntryInvalid = Define(Definition{ID: 2138, Name: "worker-entry-invalid", Level: Warn,
		Summary: "An entry among the workers names no worker to use.",
		Action:  "Find who wrote it.",
		Keys:    []string{"key", "error"}})
)

// Events of the owner's store calls.
var (
	ProgressWriteFailed = Define(Definition{ID: 2140, Name: "progress-unwritten", Level: Warn,
		Summary: "A write of progress failed; it is repeated.",
		Action:  "Look at the store's answers from this VM.",
		Keys:    []string{"records", "error"}})
	StoreCallFailed = Define(Definition{ID: 2141, Name: "store-call-failed", Level: Warn,
		Summary: "The store does not answer this VM; the call is repeated.",
		Action:  "Look at the store's answers from this VM.",
		Keys:    []string{"call", "error"}})
	StoreCallRecovered = Define(Definition{ID: 2142, Name: "store-call-answered", Level: Info,
		Summary: "The store answers this VM again.",
		Action:  "Nothing.",
		Keys:    []string{"call"}})
	StoredEntryInvalid = Define(Definition{ID: 2143, Name: "stored-entry-invalid", Level: Error,
		Summary: "An entry in the store cannot be read; it is passed over.",
		Action:  "Find which version wrote it.",
		Keys:    []string{"key", "error"}})
)

// Events of what callers of the platform ask.
var (
	SubmissionAccepted = Define(Definition{ID: 4100, Name: "submission-accepted", Level: Info,
		Summary: "The submission is stored; the caller is told so.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "queue", "configuration", "tries"}})
	SubmissionInvalid = Define(Definition{ID: 4101, Name: "submission-invalid", Level: Warn,
		Summary: "A submission was turned down for its form.",
		Action:  "Tell the caller.",
		Keys:    []string{"submission", "queue", "error"}})
	CancelAccepted = Define(Definition{ID: 4102, Name: "cancel-accepted", Level: Info,
		Summary: "The cancellation is stored; the caller is told so.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "tries"}})
	CallerRequestFailed = Define(Definition{ID: 4103, Name: "caller-refused", Level: Warn,
		Summary: "A caller got no success.",
		Action:  "Look at the reason, and at lost dependencies of this VM before it.",
		Keys:    []string{"submission", "method", "status", "reason", "error"}})
	CallerRequestUnrouted = Define(Definition{ID: 4104, Name: "caller-unrouted", Level: Info,
		Summary: "No queue of the configuration takes the path.",
		Action:  "Compare with the operators' configuration of that version.",
		Keys:    []string{"method", "host", "path", "configuration"}})
	SubmissionUnknown = Define(Definition{ID: 4105, Name: "state-unknown", Level: Info,
		Summary: "A caller asked for a submission that neither the owner nor the store knows.",
		Action:  "Nothing.",
		Keys:    []string{"submission"}})
)

// Events of a VM's process on the platform.
var (
	NodeStarted = Define(Definition{ID: 1200, Name: "node-started", Level: Info,
		Summary: "The process runs.",
		Action:  "Nothing.",
		Keys:    []string{"version", "callers", "peers", "contracts"}})
	NodeStopping = Define(Definition{ID: 1201, Name: "node-stopping", Level: Info,
		Summary: "The process was told to stop.",
		Action:  "Nothing.",
		Keys:    []string{"grace"}})
	NodeStopped = Define(Definition{ID: 1202, Name: "node-stopped", Level: Info,
		Summary: "The process ends.",
		Action:  "Nothing.",
		Keys:    []string{"took"}})
	NodeReloaded = Define(Definition{ID: 1203, Name: "node-reloaded", Level: Info,
		Summary: "The settings file was read again; what is open stays as it is.",
		Action:  "If it is not valid, mend the file.",
		Keys:    []string{"error"}})
	OwnerFound = Define(Definition{ID: 1204, Name: "owner-found", Level: Info,
		Summary: "This VM follows an owner.",
		Action:  "Nothing.",
		Keys:    []string{"owner", "address", "fence"}})
	OwnershipYielded = Define(Definition{ID: 1209, Name: "owner-yields", Level: Info,
		Summary: "This VM gives the authority up, as a much larger one follows it.",
		Action:  "Nothing.",
		Keys:    []string{"rank", "follower_rank"}})
	OwnerUnreachable = Define(Definition{ID: 1205, Name: "owner-lost", Level: Warn,
		Summary: "The owner does not answer this VM.",
		Action:  "Look at the owner's VM and at the links to it.",
		Keys:    []string{"address", "no_listener", "error"}})
	OperatorConfigurationActivated = Define(Definition{ID: 1206, Name: "operator-configuration-in-force", Level: Info,
		Summary: "A newer configuration is in force on this VM.",
		Action:  "Nothing.",
		Keys:    []string{"version", "source", "queues"}})
	OperatorConfigurationInvalid = Define(Definition{ID: 1207, Name: "operator-configuration-invalid", Level: Error,
		Summary: "The operators' configuration cannot be read; the one before stays in force.",
		Action:  "Mend the configuration.",
		Keys:    []string{"source", "error"}})
	CampaignFailed = Define(Definition{ID: 1208, Name: "campaign-failed", Level: Info,
		Summary: "This VM tried to become the owner and did not.",
		Action:  "Nothing, if another VM did.",
		Keys:    []string{"why", "error"}})
)

// PeerExhausted tells that a VM had no descriptor for a connection of another.
var PeerAcceptFailed = Define(Definition{ID: 6006, Name: "peer-exhausted", Level: Warn,
	Summary: "A connection of another VM could not be accepted for want of descriptors or memory; it is tried again.",
	Action:  "Raise the limit, or use larger VMs: each worker takes up to six connections of the owner.",
	Keys:    []string{"error"}})
