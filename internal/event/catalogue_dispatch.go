package event

// Events of the owner on the users' machines: what it decides and what it believes.
var (
	OwnerElected = Define(Def{ID: 2100, Name: "owner-elected", Level: Info,
		Text: "This VM decides from now on.",
		Does: "Nothing once; if it repeats, look for VMs that cannot reach the store.",
		Keys: []string{"fence", "why", "submissions", "workers"}})
	OwnerRecovered = Define(Def{ID: 2101, Name: "owner-recovered", Level: Info,
		Text: "All that an earlier owner started is adopted or proved not running.",
		Does: "If it takes longer than the lease, look for workers that do not answer.",
		Keys: []string{"fence", "took", "workers", "runs", "submissions"}})
	HandOverFailed = Define(Def{ID: 2156, Name: "hand-over-failed", Level: Warn,
		Text: "The VM that was to take over did not answer; another is elected when the lease has run out.",
		Does: "Look at the links between the VMs.",
		Keys: []string{"address", "error"}})
	WorkerReplaced = Define(Def{ID: 2155, Name: "worker-replaced", Level: Info,
		Text: "Another worker answers at the address: this one is dead, and its tasks start elsewhere.",
		Does: "Nothing.",
		Keys: []string{"worker", "address", "runs"}})
	PredecessorEnded = Define(Def{ID: 2154, Name: "predecessor-ended", Level: Info,
		Text: "The owner before decides no more; only its last leases have to run out.",
		Does: "Nothing.",
		Keys: []string{"owner", "address", "since"}})
	OwnerDeposed = Define(Def{ID: 2102, Name: "owner-deposed", Level: Warn,
		Text: "Another VM decides; this one stopped.",
		Does: "Nothing once; if it repeats, look for paused VMs or a slow store.",
		Keys: []string{"fence", "why"}})
	AuthorityLost = Define(Def{ID: 2103, Name: "authority-lost", Level: Warn,
		Text: "The owner's lease is not surely held; nothing is ordered.",
		Does: "Look at the store's answers from this VM.",
		Keys: []string{"fence", "age"}})
	AuthorityRegained = Define(Def{ID: 2104, Name: "authority-regained", Level: Info,
		Text: "The owner's lease is held again.",
		Does: "Nothing.",
		Keys: []string{"fence", "lost_for"}})
	WaveTaken = Define(Def{ID: 2150, Name: "wave-taken", Level: Info,
		Text: "The owner knows a request of the operators to maintain machines.",
		Does: "Nothing.",
		Keys: []string{"wave", "machines", "max_parallel", "due_in", "completed"}})
	WaveCompleted = Define(Def{ID: 2151, Name: "wave-completed", Level: Info,
		Text: "Each machine of the wave that is still there has been maintained.",
		Does: "If it was late, allow more machines at once or more time.",
		Keys: []string{"wave", "machines", "behind"}})
	MaintenanceOrdered = Define(Def{ID: 2152, Name: "maintenance-ordered", Level: Info,
		Text: "A machine without runs is ordered down.",
		Does: "Nothing.",
		Keys: []string{"wave", "machine", "down", "left", "due_in"}})
	MaintenanceAnswered = Define(Def{ID: 2153, Name: "maintenance-answered", Level: Info,
		Text: "The order was answered, or was not.",
		Does: "If a machine stays busy, look at its state at the control plane.",
		Keys: []string{"wave", "machine", "error"}})
	OccurrenceDue = Define(Def{ID: 2105, Name: "occurrence-due", Level: Info,
		Text: "A timed submission's run is due.",
		Does: "Nothing.",
		Keys: []string{"submission", "occurrence", "behind"}})
	SubmissionEnded = Define(Def{ID: 2106, Name: "submission-ended", Level: Info,
		Text: "The submission has its final state.",
		Does: "For a failed one, follow its id through run-ended.",
		Keys: []string{"submission", "state", "reason", "took", "objective"}})
	SubmissionTaken = Define(Def{ID: 2107, Name: "submission-taken", Level: Info,
		Text: "The owner knows the submission.",
		Does: "Nothing.",
		Keys: []string{"submission", "queue", "steps", "revision", "age"}})
	CancelTaken = Define(Def{ID: 2108, Name: "cancel-taken", Level: Info,
		Text: "The owner knows that the caller cancelled the submission.",
		Does: "Nothing.",
		Keys: []string{"submission", "state"}})
	RunPlaced = Define(Def{ID: 2110, Name: "run-placed", Level: Info,
		Text: "A worker was chosen and ordered to start a run.",
		Does: "Nothing.",
		Keys: []string{"worker", "task", "run", "waited", "report_age", "free_cpu"}})
	StartFailed = Define(Def{ID: 2111, Name: "start-failed", Level: Warn,
		Text: "A start was refused or not answered.",
		Does: "If one worker repeats it, look at that worker.",
		Keys: []string{"worker", "task", "run", "error"}})
	RunEnded = Define(Def{ID: 2112, Name: "run-ended", Level: Info,
		Text: "A worker listed the end of a run.",
		Does: "Nothing.",
		Keys: []string{"worker", "task", "run", "outcome"}})
	RunStopped = Define(Def{ID: 2113, Name: "run-stopped", Level: Info,
		Text: "A run is being stopped.",
		Does: "Nothing.",
		Keys: []string{"worker", "task", "run", "reason"}})
	RunAdopted = Define(Def{ID: 2114, Name: "run-adopted", Level: Info,
		Text: "A worker lists a run that this owner did not start.",
		Does: "Nothing after a change of owner.",
		Keys: []string{"worker", "task", "run", "stopped"}})
	RunUnknown = Define(Def{ID: 2115, Name: "run-unknown", Level: Warn,
		Text: "A worker lists a run of no known submission; it is stopped.",
		Does: "See that nobody else starts tasks there.",
		Keys: []string{"worker", "task", "run"}})
	RunVanished = Define(Def{ID: 2116, Name: "run-vanished", Level: Warn,
		Text: "A worker lists neither the run nor its end.",
		Does: "Look at the worker if it repeats.",
		Keys: []string{"worker", "task", "run"}})
	RunStalled = Define(Def{ID: 2117, Name: "run-stalled", Level: Warn,
		Text: "A run makes no progress; it is moved.",
		Does: "If one worker repeats it, take it out.",
		Keys: []string{"worker", "task", "run", "percent", "still_for"}})
	RunPaced = Define(Def{ID: 2118, Name: "run-paced", Level: Info,
		Text: "A filler's share of processor time was changed.",
		Does: "Nothing.",
		Keys: []string{"worker", "task", "run", "percent"}})
	RunCopied = Define(Def{ID: 2121, Name: "run-copied", Level: Info,
		Text: "A second run of a task is started, as the first may be lost or stuck.",
		Does: "Nothing.",
		Keys: []string{"worker", "task", "run", "age", "percent"}})
	RunPreempted = Define(Def{ID: 2122, Name: "run-preempted", Level: Info,
		Text: "A run that checkpoints is stopped to make room for a more urgent step.",
		Does: "If it happens all the time, the cluster is too small for its urgent queues.",
		Keys: []string{"worker", "task", "run", "step"}})
	AdviceTaken = Define(Def{ID: 2119, Name: "advice-taken", Level: Info,
		Text: "The advice service said which workers may run a step.",
		Does: "Nothing.",
		Keys: []string{"step", "named", "allowed", "validity"}})
	AdviceFailed = Define(Def{ID: 2120, Name: "advice-failed", Level: Warn,
		Text: "A call for advice failed; it is repeated.",
		Does: "Look at the advice service.",
		Keys: []string{"step", "named", "error"}})
	WorkerListed = Define(Def{ID: 2130, Name: "worker-listed", Level: Info,
		Text: "The platform lists a worker.",
		Does: "Nothing.",
		Keys: []string{"worker", "service", "address", "failure_domain"}})
	WorkerUnlisted = Define(Def{ID: 2131, Name: "worker-unlisted", Level: Warn,
		Text: "The platform lists the worker no more.",
		Does: "Nothing.",
		Keys: []string{"worker", "runs"}})
	WorkerDraining = Define(Def{ID: 2132, Name: "worker-draining", Level: Info,
		Text: "The worker is about to leave.",
		Does: "Nothing.",
		Keys: []string{"worker", "remaining"}})
	WorkerSilent = Define(Def{ID: 2133, Name: "worker-silent", Level: Warn,
		Text: "A worker does not answer; it gets nothing new.",
		Does: "Look at the worker and the links to it.",
		Keys: []string{"worker", "silent_for", "runs", "error"}})
	WorkerHeard = Define(Def{ID: 2134, Name: "worker-heard", Level: Info,
		Text: "A worker answers again.",
		Does: "Nothing.",
		Keys: []string{"worker", "silent_for", "failed_holds"}})
	WorkerLapsed = Define(Def{ID: 2135, Name: "worker-lapsed", Level: Warn,
		Text: "The lease of a silent worker has run out; its runs are dead.",
		Does: "Look at the worker.",
		Keys: []string{"worker", "runs", "silent_for"}})
	WorkerReborn = Define(Def{ID: 2136, Name: "worker-reborn", Level: Warn,
		Text: "Another incarnation of a worker answers; earlier runs are dead.",
		Does: "Nothing.",
		Keys: []string{"worker", "before", "now", "runs"}})
	WorkerQuarantined = Define(Def{ID: 2137, Name: "worker-quarantined", Level: Warn,
		Text: "Runs of different submissions failed there in a row; it gets nothing new for a while.",
		Does: "Look at the worker.",
		Keys: []string{"worker", "failures", "for"}})
	WorkerEntryInvalid = Define(Def{ID: 2138, Name: "worker-entry-invalid", Level: Warn,
		Text: "An entry among the workers names no worker to use.",
		Does: "Find who wrote it.",
		Keys: []string{"key", "error"}})
)

// Events of the owner's store calls.
var (
	ProgressUnwritten = Define(Def{ID: 2140, Name: "progress-unwritten", Level: Warn,
		Text: "A write of progress failed; it is repeated.",
		Does: "Look at the store's answers from this VM.",
		Keys: []string{"records", "error"}})
	StoreCallFailed = Define(Def{ID: 2141, Name: "store-call-failed", Level: Warn,
		Text: "The store does not answer this VM; the call is repeated.",
		Does: "Look at the store's answers from this VM.",
		Keys: []string{"call", "error"}})
	StoreCallAnswered = Define(Def{ID: 2142, Name: "store-call-answered", Level: Info,
		Text: "The store answers this VM again.",
		Does: "Nothing.",
		Keys: []string{"call"}})
	StoredEntryInvalid = Define(Def{ID: 2143, Name: "stored-entry-invalid", Level: Error,
		Text: "An entry in the store cannot be read; it is passed over.",
		Does: "Find which version wrote it.",
		Keys: []string{"key", "error"}})
)

// Events of what callers of the platform ask.
var (
	SubmissionAccepted = Define(Def{ID: 4100, Name: "submission-accepted", Level: Info,
		Text: "The submission is stored; the caller is told so.",
		Does: "Nothing.",
		Keys: []string{"submission", "queue", "configuration", "tries"}})
	SubmissionInvalid = Define(Def{ID: 4101, Name: "submission-invalid", Level: Warn,
		Text: "A submission was turned down for its form.",
		Does: "Tell the caller.",
		Keys: []string{"submission", "queue", "error"}})
	CancelAccepted = Define(Def{ID: 4102, Name: "cancel-accepted", Level: Info,
		Text: "The cancellation is stored; the caller is told so.",
		Does: "Nothing.",
		Keys: []string{"submission", "tries"}})
	CallerRefused = Define(Def{ID: 4103, Name: "caller-refused", Level: Warn,
		Text: "A caller got no success.",
		Does: "Look at the reason, and at lost dependencies of this VM before it.",
		Keys: []string{"submission", "method", "status", "reason", "error"}})
	CallerUnrouted = Define(Def{ID: 4104, Name: "caller-unrouted", Level: Info,
		Text: "No queue of the configuration takes the path.",
		Does: "Compare with the operators' configuration of that version.",
		Keys: []string{"method", "host", "path", "configuration"}})
	StateUnknown = Define(Def{ID: 4105, Name: "state-unknown", Level: Info,
		Text: "A caller asked for a submission that neither the owner nor the store knows.",
		Does: "Nothing.",
		Keys: []string{"submission"}})
)

// Events of a VM's process on the platform.
var (
	NodeStarted = Define(Def{ID: 1200, Name: "node-started", Level: Info,
		Text: "The process runs.",
		Does: "Nothing.",
		Keys: []string{"version", "callers", "peers", "contracts"}})
	NodeStopping = Define(Def{ID: 1201, Name: "node-stopping", Level: Info,
		Text: "The process was told to stop.",
		Does: "Nothing.",
		Keys: []string{"grace"}})
	NodeStopped = Define(Def{ID: 1202, Name: "node-stopped", Level: Info,
		Text: "The process ends.",
		Does: "Nothing.",
		Keys: []string{"took"}})
	NodeReloaded = Define(Def{ID: 1203, Name: "node-reloaded", Level: Info,
		Text: "The settings file was read again; what is open stays as it is.",
		Does: "If it is not valid, mend the file.",
		Keys: []string{"error"}})
	OwnerFound = Define(Def{ID: 1204, Name: "owner-found", Level: Info,
		Text: "This VM follows an owner.",
		Does: "Nothing.",
		Keys: []string{"owner", "address", "fence"}})
	OwnerYields = Define(Def{ID: 1209, Name: "owner-yields", Level: Info,
		Text: "This VM gives the authority up, as a much larger one follows it.",
		Does: "Nothing.",
		Keys: []string{"rank", "follower_rank"}})
	OwnerLost = Define(Def{ID: 1205, Name: "owner-lost", Level: Warn,
		Text: "The owner does not answer this VM.",
		Does: "Look at the owner's VM and at the links to it.",
		Keys: []string{"address", "no_listener", "error"}})
	OperatorConfigurationInForce = Define(Def{ID: 1206, Name: "operator-configuration-in-force", Level: Info,
		Text: "A newer configuration is in force on this VM.",
		Does: "Nothing.",
		Keys: []string{"version", "source", "queues"}})
	OperatorConfigurationInvalid = Define(Def{ID: 1207, Name: "operator-configuration-invalid", Level: Error,
		Text: "The operators' configuration cannot be read; the one before stays in force.",
		Does: "Mend the configuration.",
		Keys: []string{"source", "error"}})
	CampaignFailed = Define(Def{ID: 1208, Name: "campaign-failed", Level: Info,
		Text: "This VM tried to become the owner and did not.",
		Does: "Nothing, if another VM did.",
		Keys: []string{"why", "error"}})
)

// PeerExhausted tells that a VM had no descriptor for a connection of another.
var PeerExhausted = Define(Def{ID: 6006, Name: "peer-exhausted", Level: Warn,
	Text: "A connection of another VM could not be accepted for want of descriptors or memory; it is tried again.",
	Does: "Raise the limit, or use larger VMs: each worker takes up to six connections of the owner.",
	Keys: []string{"error"}})
