package event

// Events of the owner: its ownership, its decisions and the state that it derives from reports.
var (
	OwnerElected = Define(Definition{ID: 2100, Name: "owner-elected", Level: Info,
		Summary: "This VM became the owner and makes the scheduling decisions.",
		Action:  "Nothing for a single event. If it repeats, look for VMs that cannot reach the store.",
		Keys:    []string{"fence", "why", "submissions", "workers"}})
	OwnerRecovered = Define(Definition{ID: 2101, Name: "owner-recovered", Level: Info,
		Summary: "Every run that a previous owner started has been adopted or is proved not to be running.",
		Action:  "If recovery takes longer than the lease, look for workers that do not respond.",
		Keys:    []string{"fence", "took", "workers", "runs", "submissions"}})
	OwnerKeyReacquired = Define(Definition{ID: 2164, Name: "owner-key-reacquired", Level: Info,
		Summary: "The lease of the owner had ended, no other VM was the owner meanwhile, and the owner took its key again with its state.",
		Action:  "Look for an outage of the store just before.",
		Keys:    []string{"fence", "revision", "took"}})
	HandoverFailed = Define(Definition{ID: 2156, Name: "hand-over-failed", Level: Warn,
		Summary: "The VM that was to receive ownership did not respond; another owner is elected when the lease expires.",
		Action:  "Check the network links between the VMs.",
		Keys:    []string{"address", "error"}})
	WorkerReplaced = Define(Definition{ID: 2155, Name: "worker-replaced", Level: Info,
		Summary: "Another worker responds at the address; this worker is dead and its tasks are started elsewhere.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "address", "runs"}})
	PreviousOwnerStopped = Define(Definition{ID: 2154, Name: "predecessor-ended", Level: Info,
		Summary: "The previous owner has stopped making decisions; only the last leases that it granted still have to expire.",
		Action:  "Nothing.",
		Keys:    []string{"owner", "address", "since"}})
	OwnershipLost = Define(Definition{ID: 2102, Name: "owner-deposed", Level: Warn,
		Summary: "This VM lost ownership because another VM is the owner, and it stopped making decisions.",
		Action:  "Nothing for a single event. If it repeats, look for paused VMs or a slow store.",
		Keys:    []string{"fence", "why"}})
	OwnerLeaseUncertain = Define(Definition{ID: 2103, Name: "authority-lost", Level: Warn,
		Summary: "The owner cannot be sure that it still holds its lease; until it can, it only renews the leases of workers and starts tasks that were accepted before, for a limited time.",
		Action:  "Check the store's response times and errors on this VM.",
		Keys:    []string{"fence", "age"}})
	OwnerLeaseConfirmed = Define(Definition{ID: 2104, Name: "authority-regained", Level: Info,
		Summary: "The owner's lease is confirmed again and commands are sent.",
		Action:  "Nothing.",
		Keys:    []string{"fence", "lost_for"}})
	WaveReceived = Define(Definition{ID: 2150, Name: "wave-taken", Level: Info,
		Summary: "The owner received an operator's request for a maintenance wave.",
		Action:  "Nothing.",
		Keys:    []string{"wave", "machines", "max_parallel", "due_in", "completed"}})
	WaveCompleted = Define(Definition{ID: 2151, Name: "wave-completed", Level: Info,
		Summary: "Every machine of the wave that still exists has been maintained.",
		Action:  "If the wave finished late, allow more machines in parallel or more time.",
		Keys:    []string{"wave", "machines", "behind"}})
	MaintenanceRequested = Define(Definition{ID: 2152, Name: "maintenance-ordered", Level: Info,
		Summary: "A request to take down a machine that has no runs left is sent to the control plane.",
		Action:  "Nothing.",
		Keys:    []string{"wave", "machine", "down", "left", "due_in"}})
	MaintenanceRequestCompleted = Define(Definition{ID: 2153, Name: "maintenance-answered", Level: Info,
		Summary: "The control plane responded to the request to take down a machine, or the request failed.",
		Action:  "If a machine stays busy, check its state at the control plane.",
		Keys:    []string{"wave", "machine", "error"}})
	OccurrenceDue = Define(Definition{ID: 2105, Name: "occurrence-due", Level: Info,
		Summary: "An occurrence of a timed submission is due.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "occurrence", "behind"}})
	DecisionLoad = Define(Definition{ID: 2157, Name: "decision-load", Level: Info,
		Summary: "Decisions took a tenth of the last second or more; recorded once a second at most.",
		Action:  "Near half of the interval, move ownership to a larger VM. Otherwise look at free_cpu and stopping (capacity) and at the advice calls.",
		Keys:    []string{"interval", "busy", "longest", "passes", "examined", "ready", "unplaced", "stopping", "advice_calls", "advice_slots", "free_cpu"}})
	SubmissionFinished = Define(Definition{ID: 2106, Name: "submission-ended", Level: Info,
		Summary: "A submission reached its final state.",
		Action:  "For a failed submission, search the run-ended events for its id.",
		Keys:    []string{"submission", "state", "reason", "took", "objective"}})
	SubmissionReceived = Define(Definition{ID: 2107, Name: "submission-taken", Level: Info,
		Summary: "The owner received the submission from the store.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "queue", "steps", "revision", "age"}})
	SubmissionDeferred = Define(Definition{ID: 2167, Name: "submission-deferred", Level: Warn,
		Summary: "A large submission waits until the owner holds fewer tasks of other submissions.",
		Action:  "Nothing if it starts later. Split submissions of so many tasks, or hand them in one after the other.",
		Keys:    []string{"submission", "tasks", "limit"}})
	ProgressTooLarge = Define(Definition{ID: 2166, Name: "progress-too-large", Level: Warn,
		Summary: "The progress of a submission exceeds the size of a value in the store. Its checkpoints are not stored; if it still exceeds the size, it is written when less of it is at work.",
		Action:  "Split the submission into several.",
		Keys:    []string{"submission", "bytes", "limit", "written"}})
	QueueSettingsUnknown = Define(Definition{ID: 2165, Name: "queue-settings-unknown", Level: Warn,
		Summary: "The queue of a submission is in no known configuration, and the submission was stored without the queue's settings; defaults apply: one attempt, no advice.",
		Action:  "Add the queue to the configuration again until the submission has ended.",
		Keys:    []string{"submission", "queue"}})
	CancelReceived = Define(Definition{ID: 2108, Name: "cancel-taken", Level: Info,
		Summary: "The owner received the caller's cancellation of a submission from the store.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "state"}})
	RunPlaced = Define(Definition{ID: 2110, Name: "run-placed", Level: Info,
		Summary: "A worker was chosen for a run and the command to start it was issued.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "waited", "report_age", "free_cpu"}})
	StartFailed = Define(Definition{ID: 2111, Name: "start-failed", Level: Warn,
		Summary: "A command to start a run was rejected or got no response.",
		Action:  "If it repeats for one worker, check that worker.",
		Keys:    []string{"worker", "task", "run", "error"}})
	RunTerminated = Define(Definition{ID: 2112, Name: "run-ended", Level: Info,
		Summary: "A worker reported the result of a run.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "outcome"}})
	RunStopped = Define(Definition{ID: 2113, Name: "run-stopped", Level: Info,
		Summary: "A run is being stopped.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "reason"}})
	RunAdopted = Define(Definition{ID: 2114, Name: "run-adopted", Level: Info,
		Summary: "A worker reported a run that this owner did not start; the owner adopted it.",
		Action:  "Nothing after a change of owner.",
		Keys:    []string{"worker", "task", "run", "stopped"}})
	UnknownRunFound = Define(Definition{ID: 2115, Name: "run-unknown", Level: Warn,
		Summary: "A worker reported a run that belongs to no known submission; the run is stopped.",
		Action:  "Make sure that nothing else starts tasks on that worker.",
		Keys:    []string{"worker", "task", "run"}})
	RunMissing = Define(Definition{ID: 2116, Name: "run-vanished", Level: Warn,
		Summary: "A worker reported neither a run that was started on it nor the run's result.",
		Action:  "If it repeats, check the worker.",
		Keys:    []string{"worker", "task", "run"}})
	RunStalled = Define(Definition{ID: 2117, Name: "run-stalled", Level: Warn,
		Summary: "A run makes no progress; it is moved to another worker.",
		Action:  "If it repeats for one worker, take that worker out of service.",
		Keys:    []string{"worker", "task", "run", "percent", "still_for"}})
	RunThrottled = Define(Definition{ID: 2118, Name: "run-paced", Level: Info,
		Summary: "The CPU throttle limit of a filler task's run was changed.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "percent"}})
	SpeculativeRunStarted = Define(Definition{ID: 2121, Name: "run-copied", Level: Info,
		Summary: "A second run of a task was started because the first one may be lost or stuck.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "age", "percent"}})
	CapacityWaiting = Define(Definition{ID: 2123, Name: "capacity-waiting", Level: Info,
		Summary: "A gang, or tasks that need a large part of a worker, do not fit now. Workers are reserved for them, unless too few are eligible.",
		Action:  "If ready_in stays high, look at the runs on its workers. If reserved is 0, compare eligible, the workers that may run a task of the step, with tasks: advice, labels, drains or back-offs leave too few.",
		Keys:    []string{"step", "tasks", "eligible", "reserved", "ready_in"}})
	AccountAtQuota = Define(Definition{ID: 2124, Name: "account-at-quota", Level: Info,
		Summary: "A step waits because its account's runs, with those that an earlier owner may have left, use the account's quota.",
		Action:  "Nothing while the account uses what it may. Otherwise raise its quota.",
		Keys:    []string{"account", "step", "cpu", "memory", "accelerators", "max_cpu", "max_memory", "max_accelerators"}})
	WorkerKindSpeed = Define(Definition{ID: 2139, Name: "worker-kind-speed", Level: Info,
		Summary: "Workers of a kind take longer or shorter for a run than others, by the factor slowdown; placement takes it into account.",
		Action:  "Nothing.",
		Keys:    []string{"kind", "slowdown", "samples"}})
	RunPreempted = Define(Definition{ID: 2122, Name: "run-preempted", Level: Info,
		Summary: "A run that supports checkpoints is stopped to free capacity for a more urgent step.",
		Action:  "If it happens all the time, the cluster is too small for its urgent queues.",
		Keys:    []string{"worker", "task", "run", "step"}})
	AdviceReceived = Define(Definition{ID: 2119, Name: "advice-taken", Level: Info,
		Summary: "The placement advice service returned the workers that may run a step.",
		Action:  "Nothing.",
		Keys:    []string{"step", "named", "allowed", "validity"}})
	AdviceFailed = Define(Definition{ID: 2120, Name: "advice-failed", Level: Warn,
		Summary: "A call to the placement advice service failed; it is retried.",
		Action:  "Check the placement advice service.",
		Keys:    []string{"step", "named", "error"}})
	WorkerListed = Define(Definition{ID: 2130, Name: "worker-listed", Level: Info,
		Summary: "A worker appeared in the platform's list.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "service", "address", "failure_domain", "labels"}})
	WorkerUnlisted = Define(Definition{ID: 2131, Name: "worker-unlisted", Level: Warn,
		Summary: "A worker is no longer in the platform's list.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "runs"}})
	WorkerDraining = Define(Definition{ID: 2132, Name: "worker-draining", Level: Info,
		Summary: "A worker is about to leave and is being drained.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "remaining"}})
	WorkerUnresponsive = Define(Definition{ID: 2133, Name: "worker-silent", Level: Warn,
		Summary: "A worker does not respond; it gets no new runs.",
		Action:  "Check the worker and the network links to it.",
		Keys:    []string{"worker", "silent_for", "runs", "error"}})
	WorkerResponding = Define(Definition{ID: 2134, Name: "worker-heard", Level: Info,
		Summary: "A worker responds again.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "silent_for", "failed_holds"}})
	WorkerLeaseExpired = Define(Definition{ID: 2135, Name: "worker-lapsed", Level: Warn,
		Summary: "The lease of an unresponsive worker expired; its runs are dead. clock_ms is its clock at the last answer, deadline_ms the latest end of the lease that the owner counted with, on that clock (0: none); incarnation_known is the time since its incarnation first answered. Without an answer (reported false) the lease of an earlier owner expired.",
		Action:  "Check the worker.",
		Keys:    []string{"worker", "runs", "silent_for", "reported", "clock_ms", "deadline_ms", "incarnation_known"}})
	WorkerIncarnationChanged = Define(Definition{ID: 2136, Name: "worker-reborn", Level: Warn,
		Summary: "A worker was restarted: it responds with a new incarnation, and the runs of the previous incarnation are dead. clock_before_ms is the estimated clock of that one, deadline_before_ms the latest end of its lease that the owner counted with; renewals_since and starts_since count the commands with a deadline since its last answer, which the new one may have executed; clock_ms is the new clock.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "before", "now", "runs", "clock_before_ms", "deadline_before_ms", "renewals_since", "starts_since", "clock_ms"}})
	RunLost = Define(Definition{ID: 2158, Name: "run-lost", Level: Info,
		Summary: "A run ended with its worker, without a result. The proof is a new incarnation, another worker at the address, or the expiry of the lease. The age is that of the run when the worker last responded.",
		Action:  "Look at the worker. If runs of one submission are lost on several workers, look at the submission.",
		Keys:    []string{"worker", "task", "run", "proof", "age", "silent_for"}})
	WorkerCapacityChanged = Define(Definition{ID: 2162, Name: "worker-capacity-changed", Level: Info,
		Summary: "The capacity of a worker has shrunk or grown while it runs. Runs that exceed it continue; none is started until it has room again.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "before", "now", "used"}})
	CapacityReadFailed = Define(Definition{ID: 2163, Name: "capacity-read-failed", Level: Warn,
		Summary: "The store does not give the workers' entries, or they may be from before an outage, and the machine control plane did not give the capacities either. No runs are started on workers whose capacity is not known; recorded once for a series of failures.",
		Action:  "Check the store and the control plane.",
		Keys:    []string{"error"}})
	WorkerCrashed = Define(Definition{ID: 2159, Name: "worker-crashed", Level: Warn,
		Summary: "A worker has crashed: it responds with a new incarnation, or another worker responds at its address, and it had not announced that it leaves. Runs that had just begun there are suspected.",
		Action:  "Look at crash-counted for the tasks. Without suspected runs, check the worker.",
		Keys:    []string{"worker", "proof", "runs", "suspected"}})
	CrashCounted = Define(Definition{ID: 2160, Name: "crash-counted", Level: Warn,
		Summary: "A crash of a worker was counted against a task that ran there, or may have run there (possible). Early means shortly after its start; isolated, that no other run had just begun there.",
		Action:  "A crash in isolation shows that the task is the cause: its submission fails. Look at its spec.",
		Keys:    []string{"worker", "task", "run", "crashes", "possible", "early", "isolated"}})
	RunIsolated = Define(Definition{ID: 2161, Name: "run-isolated", Level: Info,
		Summary: "A task that may have crashed a worker was started on a worker without other new runs; beside is the number of older runs there.",
		Action:  "Nothing.",
		Keys:    []string{"worker", "task", "run", "crashes", "beside"}})
	WorkerQuarantined = Define(Definition{ID: 2137, Name: "worker-quarantined", Level: Warn,
		Summary: "Runs of different submissions failed in a row on a worker; it gets no new runs for a while.",
		Action:  "Check the worker.",
		Keys:    []string{"worker", "failures", "for"}})
	WorkerEntryInvalid = Define(Definition{ID: 2138, Name: "worker-entry-invalid", Level: Warn,
		Summary: "An entry in the list of workers does not describe a usable worker.",
		Action:  "Find out what wrote the entry.",
		Keys:    []string{"key", "error"}})
)

// Events of the owner's store calls.
var (
	ProgressWriteFailed = Define(Definition{ID: 2140, Name: "progress-unwritten", Level: Warn,
		Summary: "A write of progress records to the store failed; it is retried.",
		Action:  "Check the store's response times and errors on this VM.",
		Keys:    []string{"records", "error"}})
	StoreCallFailed = Define(Definition{ID: 2141, Name: "store-call-failed", Level: Warn,
		Summary: "The store does not respond to this VM; the call is retried.",
		Action:  "Check the store's response times and errors on this VM.",
		Keys:    []string{"call", "error"}})
	StoreCallRecovered = Define(Definition{ID: 2142, Name: "store-call-answered", Level: Info,
		Summary: "The store responds to this VM again.",
		Action:  "Nothing.",
		Keys:    []string{"call"}})
	StoredEntryInvalid = Define(Definition{ID: 2143, Name: "stored-entry-invalid", Level: Error,
		Summary: "An entry in the store cannot be decoded; it is skipped.",
		Action:  "Find out which version wrote the entry.",
		Keys:    []string{"key", "error"}})
)

// Events of callers' submissions, cancellations and queries.
var (
	SubmissionAccepted = Define(Definition{ID: 4100, Name: "submission-accepted", Level: Info,
		Summary: "A submission was stored and its caller was notified.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "queue", "configuration", "tries", "account"}})
	SubmissionInvalid = Define(Definition{ID: 4101, Name: "submission-invalid", Level: Warn,
		Summary: "A submission was rejected because its content is invalid.",
		Action:  "Notify the caller.",
		Keys:    []string{"submission", "queue", "error"}})
	CancelAccepted = Define(Definition{ID: 4102, Name: "cancel-accepted", Level: Info,
		Summary: "A cancellation was stored and its caller was notified.",
		Action:  "Nothing.",
		Keys:    []string{"submission", "tries"}})
	CallerRequestFailed = Define(Definition{ID: 4103, Name: "caller-refused", Level: Warn,
		Summary: "A caller's request failed or was rejected.",
		Action:  "Check the reason attribute, and the events before it for dependencies that this VM lost.",
		Keys:    []string{"submission", "method", "status", "reason", "error"}})
	CallerRequestUnrouted = Define(Definition{ID: 4104, Name: "caller-unrouted", Level: Info,
		Summary: "No queue of the configuration matches a caller's request, or no account has its key.",
		Action:  "Compare the path and the account's keys with the operators' configuration of that version.",
		Keys:    []string{"method", "host", "path", "configuration", "age", "status", "reason"}})
	SubmissionRefused = Define(Definition{ID: 4107, Name: "submission-refused", Level: Info,
		Summary: "A submission was refused before anything was stored, with status 429 beyond its account's rate, or with 503 if the owner has no memory for it; it never runs.",
		Action:  "Beyond the rate, compare the account's weight in the configuration with what it sends. For lack of memory, look for submissions that are large or do not end; otherwise use larger VMs.",
		Keys:    []string{"submission", "account", "queue", "reason", "after", "retry_after_s"}})
	SubmissionIDTaken = Define(Definition{ID: 4106, Name: "submission-id-taken", Level: Warn,
		Summary: "A submission was rejected because another account has handed in one with its id.",
		Action:  "Ask the account how it chooses ids.",
		Keys:    []string{"submission", "account", "other"}})
	SubmissionUnknown = Define(Definition{ID: 4105, Name: "state-unknown", Level: Info,
		Summary: "A caller requested the state of a submission that neither the owner nor the store knows.",
		Action:  "Nothing.",
		Keys:    []string{"submission"}})
)

// Events of a VM's process on the platform.
var (
	NodeStarted = Define(Definition{ID: 1200, Name: "node-started", Level: Info,
		Summary: "The process started.",
		Action:  "Nothing.",
		Keys:    []string{"version", "callers", "peers", "contracts"}})
	NodeStopping = Define(Definition{ID: 1201, Name: "node-stopping", Level: Info,
		Summary: "The process is shutting down.",
		Action:  "Nothing.",
		Keys:    []string{"grace"}})
	NodeStopped = Define(Definition{ID: 1202, Name: "node-stopped", Level: Info,
		Summary: "The process stopped.",
		Action:  "Nothing.",
		Keys:    []string{"took"}})
	NodeReloaded = Define(Definition{ID: 1203, Name: "node-reloaded", Level: Info,
		Summary: "The settings file was read again and checked; the running process keeps its settings.",
		Action:  "If the file is invalid, correct it.",
		Keys:    []string{"error"}})
	OwnerFound = Define(Definition{ID: 1204, Name: "owner-found", Level: Info,
		Summary: "This VM found the owner and follows it.",
		Action:  "Nothing.",
		Keys:    []string{"owner", "address", "fence"}})
	OwnershipYielded = Define(Definition{ID: 1209, Name: "owner-yields", Level: Info,
		Summary: "This VM releases ownership because a much larger VM follows it.",
		Action:  "Nothing.",
		Keys:    []string{"rank", "follower_rank"}})
	OwnerUnreachable = Define(Definition{ID: 1205, Name: "owner-lost", Level: Warn,
		Summary: "The owner does not respond to this VM.",
		Action:  "Check the owner's VM and the network links to it.",
		Keys:    []string{"address", "no_listener", "error"}})
	OperatorConfigurationActivated = Define(Definition{ID: 1206, Name: "operator-configuration-in-force", Level: Info,
		Summary: "A newer configuration became active on this VM.",
		Action:  "Nothing.",
		Keys:    []string{"version", "source", "queues"}})
	OperatorConfigurationInvalid = Define(Definition{ID: 1207, Name: "operator-configuration-invalid", Level: Error,
		Summary: "The operators' configuration cannot be parsed; the previous one stays active.",
		Action:  "Correct the configuration.",
		Keys:    []string{"source", "error"}})
	OperatorConfigurationReadFailed = Define(Definition{ID: 1210, Name: "operator-configuration-read-failed", Level: Warn,
		Summary: "A read of the operators' configuration failed and is repeated; recorded once for a series of failures of one source.",
		Action:  "Compare the time that it took with the size of the configuration and the VM's link; check the source.",
		Keys:    []string{"source", "in_force", "took", "error"}})
	OperatorConfigurationReadRecovered = Define(Definition{ID: 1211, Name: "operator-configuration-read-answered", Level: Info,
		Summary: "A read of the operators' configuration succeeded after a series of failures of the source.",
		Action:  "Nothing.",
		Keys:    []string{"source", "in_force", "failures", "lasted"}})
	CampaignFailed = Define(Definition{ID: 1208, Name: "campaign-failed", Level: Info,
		Summary: "This VM tried to become the owner and failed.",
		Action:  "Nothing if another VM became the owner.",
		Keys:    []string{"why", "error"}})
)

// ClientsRefused is recorded at most once a second for each listener, see package ingress.
var ClientsRefused = Define(Definition{ID: 1212, Name: "clients-refused", Level: Warn,
	Summary: "Clients were refused or their connections closed, since the last such event of the listener: for lack of connections or of memory for clients, for a head over the limit, for a body that did not arrive in time.",
	Action:  "See docs/OPERATIONS.md, \"A crowd or load\".",
	Keys:    []string{"listener", "connections", "memory", "head", "slow"}})

// PeerAcceptFailed is recorded when a VM lacks the resources to accept a connection from another VM.
var PeerAcceptFailed = Define(Definition{ID: 6006, Name: "peer-exhausted", Level: Warn,
	Summary: "A connection from another VM could not be accepted for lack of file descriptors or memory; accepting is retried.",
	Action:  "Raise the limit or use larger VMs: each worker uses up to six connections of the owner.",
	Keys:    []string{"error"}})

// PeerHandlerPanicked is recorded when the handler of a call from another VM panics.
var PeerHandlerPanicked = Define(Definition{ID: 6007, Name: "peer-handler-panicked", Level: Error,
	Summary: "The handler of a call from another VM panicked; the call failed and the process continues.",
	Action:  "Report the stack to the developers.",
	Keys:    []string{"method", "cause", "stack"}})
