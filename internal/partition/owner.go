package partition

import (
	"slices"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// Bounds of an owner's work.
const (
	maxDecisionsPerPass   = 4096 // decisions taken at once; a larger gang is not committed as one
	endedJobSweepInterval = time.Minute
	summaryMaxAge         = time.Second
	appendStallTimeout    = time.Second // an append out so long has new work refused at once
	appendsPerSnapshot    = 256         // appends between two snapshots
)

// OwnerOptions are the settings of an Owner.
type OwnerOptions struct {
	Partition model.PartitionID
	Epoch     int64
	Lead      time.Duration // of the leases of this epoch
	// DriftMargin is added to the end of every lease before the task counts as not
	// running; it covers how far clocks of VMs and workers run apart within a lead.
	DriftMargin time.Duration
	// PollInterval is the time between two reports of a worker.
	PollInterval time.Duration
	// MinStartLease is the least time a lease must have left when its start is sent.
	MinStartLease time.Duration
	// AppendRetryDelay is the time between two tries after the store refused an append.
	AppendRetryDelay time.Duration
	// EndedJobRetention is how long an ended job and its idempotency key are kept.
	EndedJobRetention time.Duration
	// HandoverAfter is how long a job without an attempt waits before another
	// partition is looked for; 0: it stays.
	HandoverAfter time.Duration
}

// DefaultOwnerOptions returns the settings for a lead: what they trade is told in
// docs/design/leases.md.
func DefaultOwnerOptions(id model.PartitionID, epoch int64, lead time.Duration) OwnerOptions {
	return OwnerOptions{
		Partition:         id,
		Epoch:             epoch,
		Lead:              lead,
		DriftMargin:       lead/100 + 100*time.Millisecond,
		PollInterval:      time.Second,
		MinStartLease:     lead / 10,
		AppendRetryDelay:  200 * time.Millisecond,
		EndedJobRetention: time.Hour,
	}
}

// Owner decides for one worker partition under one epoch. It is pure: every method
// takes the present time on this VM's monotonic clock, none blocks or does I/O, and
// what is to be done is collected by Commands. One goroutine at a time uses it.
//
// Invariants: a task has at most one attempt that may be running; the sizes of the
// attempts that may be running on a worker never exceed its capacity; no start is
// asked for before its placement is durable; no lease outlasts the horizon.
type Owner struct {
	opts    OwnerOptions
	decider schedule.Decider
	// withdrawer is the decider; nil if it can't give jobs up, and then none is handed over.
	withdrawer schedule.Withdrawer
	state      *state

	workers      map[model.WorkerID]*worker
	attempts     map[model.TaskID]*attempt // those that may be running
	unloggedEnds map[platform.TaskRef]bool // ended, and not yet logged so

	horizon            time.Time // no lease granted outlasts it
	confirmInFlight    bool
	priorLeasesEnd     time.Time // no lease of an earlier epoch outlasts it
	startedAt          time.Time // when the epoch began on this VM
	priorLeadCleared   bool      // the record was told so
	recoveringAttempts int       // attempts of earlier epochs not yet adopted or ended

	pending              []*logItem // to be logged by the next append
	inFlight             []*logItem // being logged
	appendToken          Token
	appendSentAt         time.Time
	appendRetryAt        time.Time // no append and no placement before it
	submissions          map[model.JobID]*submission
	pendingKeys          map[jobKey]model.JobID // of submissions that are not durable yet
	appendsSinceSnapshot int                    // appends since the newest snapshot
	snapshotInFlight     bool
	handoverWaits        map[model.JobID]*handoverWait     // of jobs without an attempt
	targetsSearchedAt    time.Time                         // when waits were last looked for
	jobEndsQueriedAt     time.Time                         // when ends of handed jobs were last asked for
	outgoing             map[model.JobID]*outgoingHandover // being handed out
	incoming             map[model.JobID][]Token           // hand-ins being logged, with the callers that wait
	endedJobsSweptAt     time.Time                         // when ended jobs were last looked for
	position             int64

	summary        membership.Tenancy
	summaryTakenAt time.Time

	commands   []Command
	epochEnded bool
	now        time.Time // of the input being taken
}

// NewOwner starts an epoch from what the log holds. horizon is Log.Horizon.
func NewOwner(opts OwnerOptions, replay Replay, horizon time.Time, decider schedule.Decider, now time.Time) (*Owner, error) {
	s, err := restoreState(replay.Snapshot, replay.Records)
	if err != nil {
		return nil, err
	}
	o := &Owner{
		opts: opts, decider: decider, state: s, horizon: horizon, now: now, startedAt: now,
		workers:              map[model.WorkerID]*worker{},
		attempts:             map[model.TaskID]*attempt{},
		unloggedEnds:         map[platform.TaskRef]bool{},
		submissions:          map[model.JobID]*submission{},
		pendingKeys:          map[jobKey]model.JobID{},
		handoverWaits:        map[model.JobID]*handoverWait{},
		outgoing:             map[model.JobID]*outgoingHandover{},
		incoming:             map[model.JobID][]Token{},
		priorLeasesEnd:       replay.TakenOverAt.Add(replay.PreviousLead),
		appendsSinceSnapshot: len(replay.Records),
		position:             replay.Position,
		priorLeadCleared:     replay.PreviousLead == 0,
	}
	o.withdrawer, _ = decider.(schedule.Withdrawer)
	for _, j := range s.ordered() {
		o.recoverJob(j)
		if j.HandedTo != "" && !j.Acknowledged {
			o.outgoing[j.Job.ID] = &outgoingHandover{to: j.HandedTo, try: j.HandoverTries, durable: true}
		}
	}
	return o, nil
}

// Commands returns what is to be done since the last call, in order.
func (o *Owner) Commands() []Command {
	c := o.commands
	o.commands = nil
	return c
}

// EpochEnded reports whether another owner was met; the owner then does nothing more.
func (o *Owner) EpochEnded() bool { return o.epochEnded }

// SetBranches passes the branches in force to the decision.
func (o *Owner) SetBranches(now time.Time, branches []model.Branch) {
	if !o.beginInput(now) {
		return
	}
	o.decider.SetBranches(now, branches)
	o.decideAndFlush()
}

// Tick lets time pass: leases lapse, workers are polled, the horizon is renewed.
func (o *Owner) Tick(now time.Time) {
	if !o.beginInput(now) {
		return
	}
	o.expireLeases()
	o.confirmIfDue()
	o.clearPriorLeadIfDue()
	o.pollWorkers()
	o.retryStops()
	o.startReadyAttempts()
	o.removeEndedJobs()
	o.findHandoverTargets()
	o.resendHandovers()
	o.queryHandedOverJobs()
	o.decideAndFlush()
}

// EndEpoch ends the epoch on this VM: nothing more is decided or granted. Submissions
// that wait for the log are answered by their append.
func (o *Owner) EndEpoch(now time.Time, reason string) {
	if !o.beginInput(now) {
		return
	}
	o.endEpoch(reason)
}

func (o *Owner) endEpoch(reason string) {
	if o.epochEnded {
		return
	}
	o.epochEnded = true
	o.commands = slices.DeleteFunc(o.commands, func(c Command) bool { return !allowedAfterEpochEnd(c) })
	o.emit(o.notice(NoticeOwnershipLost, nil, reason))
	o.failPending(ErrOwnershipLost)
}

// beginInput takes the time of an input; false says that the epoch has ended.
func (o *Owner) beginInput(now time.Time) bool {
	o.now = now
	return !o.epochEnded
}

// decideAndFlush decides and logs what the input made possible.
func (o *Owner) decideAndFlush() {
	if o.epochEnded {
		return
	}
	o.decide()
	o.flush()
}

// emit adds a command; once deposed, only what asks for no action.
func (o *Owner) emit(c Command) {
	if !o.epochEnded || allowedAfterEpochEnd(c) {
		o.commands = append(o.commands, c)
	}
}

// allowedAfterEpochEnd reports whether the command is carried out after a deposition.
func allowedAfterEpochEnd(c Command) bool {
	switch c.(type) {
	case Reply, Notice:
		return true
	}
	return false
}

func (o *Owner) notice(kind NoticeKind, a *attempt, reason string) Notice {
	n := Notice{Kind: kind, Partition: o.opts.Partition, Epoch: o.opts.Epoch, Reason: reason}
	if a != nil {
		n.Job, n.Task, n.Attempt, n.Worker, n.Branch = a.job, a.ref.Task, a.ref.Attempt, a.worker, a.branch
	}
	return n
}
