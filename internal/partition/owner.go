package partition

import (
	"slices"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// Limits of an owner's work.
const (
	maxDecisionsPerPass   = 4096 // a larger gang is not committed as one unit
	endedJobSweepInterval = time.Minute
	summaryMaxAge         = time.Second
	appendStallTimeout    = time.Second // new work is rejected while an append takes longer
	appendsPerSnapshot    = 256
)

// OwnerOptions configure an Owner.
type OwnerOptions struct {
	Partition model.PartitionID
	Epoch     int64
	Lead      time.Duration // from a confirmation of ownership to the new horizon
	// DriftMargin is added to the end of a lease before its task counts as not running. It
	// covers how far the clocks of VMs and workers can drift apart within one lead.
	DriftMargin time.Duration
	// PollInterval is the time between two polls of a worker.
	PollInterval time.Duration
	// MinStartLease is the minimum remaining time of a lease when its start is sent.
	MinStartLease time.Duration
	// AppendRetryDelay is the delay after a failed append before the next append and the
	// next placement.
	AppendRetryDelay time.Duration
	// EndedJobRetention is how long an ended job and its idempotency key are retained.
	EndedJobRetention time.Duration
	// HandoverAfter is how long a job waits without an attempt before the owner searches for
	// another partition; 0: jobs are never handed over.
	HandoverAfter time.Duration
}

// DefaultOwnerOptions returns the options for a lead. docs/design/leases.md describes the
// trade-offs.
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

// Owner schedules one worker partition under one epoch. It does no I/O and never blocks:
// every input takes the current time on this VM's monotonic clock, and the actions to
// carry out are collected by Commands. Only one goroutine at a time may use it.
//
// Invariants: a task has at most one attempt that may be running; the sizes of the
// attempts that may be running on a worker never exceed its capacity; no start is
// requested before its placement is durable; no lease outlasts the horizon.
type Owner struct {
	opts    OwnerOptions
	decider schedule.Decider
	// withdrawer is the decider, or nil if it can't withdraw jobs; then no job is handed over.
	withdrawer schedule.Withdrawer
	state      *state

	workers      map[model.WorkerID]*worker
	attempts     map[model.TaskID]*attempt // attempts that may be running
	unloggedEnds map[platform.TaskRef]bool // ended attempts whose end is not durable yet

	horizon            time.Time // no lease granted under this epoch outlasts it
	confirmInFlight    bool
	priorLeasesEnd     time.Time // no lease of an earlier epoch outlasts it
	startedAt          time.Time // when the epoch started on this VM
	priorLeadCleared   bool      // recording that prior leases have expired was requested
	recoveringAttempts int       // attempts of earlier epochs not yet adopted or ended

	pending              []*logItem // for the next append
	inFlight             []*logItem // items in the append in flight; nil: none
	appendToken          Token
	appendSentAt         time.Time
	appendRetryAt        time.Time // no append and no placement before this time
	submissions          map[model.JobID]*submission
	pendingKeys          map[jobKey]model.JobID // keys of submissions that are not durable yet
	appendsSinceSnapshot int
	snapshotInFlight     bool
	handoverWaits        map[model.JobID]*handoverWait     // jobs without an attempt
	targetsSearchedAt    time.Time                         // when handoverWaits was last checked
	jobEndsQueriedAt     time.Time                         // when the ends of handed-over jobs were last queried
	outgoing             map[model.JobID]*outgoingHandover // handovers without a durable answer
	incoming             map[model.JobID][]Token           // received handovers being logged, with the waiting callers
	endedJobsSweptAt     time.Time
	position             int64 // log position of the durable state

	summary        membership.PartitionSummary
	summaryTakenAt time.Time

	commands   []Command
	epochEnded bool
	now        time.Time // time of the input being handled
}

// NewOwner starts an epoch from the replayed log. horizon is Log.Horizon.
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

// Commands returns the commands issued since the last call, in order.
func (o *Owner) Commands() []Command {
	c := o.commands
	o.commands = nil
	return c
}

// EpochEnded reports whether this owner has lost ownership or EndEpoch was called. After that
// it issues no commands except replies and notices.
func (o *Owner) EpochEnded() bool { return o.epochEnded }

// SetBranches passes the current branches to the decider.
func (o *Owner) SetBranches(now time.Time, branches []model.Branch) {
	if !o.beginInput(now) {
		return
	}
	o.decider.SetBranches(now, branches)
	o.decideAndFlush()
}

// Tick advances time: it expires leases, polls workers, confirms the horizon and handles
// everything else that is due.
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

// EndEpoch ends the epoch on this VM: no more decisions or lease grants. Submissions in
// the append in flight are answered by its result.
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

// beginInput records the time of an input. It returns false if the epoch has ended.
func (o *Owner) beginInput(now time.Time) bool {
	o.now = now
	return !o.epochEnded
}

// decideAndFlush carries out the decisions that the input made possible and sends the
// next append.
func (o *Owner) decideAndFlush() {
	if o.epochEnded {
		return
	}
	o.decide()
	o.flush()
}

// emit adds a command. After the end of the epoch only replies and notices are added.
func (o *Owner) emit(c Command) {
	if !o.epochEnded || allowedAfterEpochEnd(c) {
		o.commands = append(o.commands, c)
	}
}

// allowedAfterEpochEnd reports whether the command is carried out after the epoch ended.
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
