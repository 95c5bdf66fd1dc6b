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
	decideLimit   = 4096 // decisions taken at once; a larger gang is not committed as one
	sweepEvery    = time.Minute
	summaryAge    = time.Second
	stalledAfter  = time.Second // an append out so long has new work refused at once
	snapshotEvery = 256         // appends between two snapshots
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
	// MinLease is the least time a lease must have left when its start is sent.
	MinLease time.Duration
	// RetryPause is the time between two tries after the store refused an append.
	RetryPause time.Duration
	// RetainEnded is how long an ended job and its idempotency key are kept.
	RetainEnded time.Duration
	// HandOverAfter is how long a job without an attempt waits before another
	// partition is looked for; 0: it stays.
	HandOverAfter time.Duration
}

// DefaultOwnerOptions returns the settings for a lead: what they trade is told in
// docs/design/leases.md.
func DefaultOwnerOptions(id model.PartitionID, epoch int64, lead time.Duration) OwnerOptions {
	return OwnerOptions{
		Partition:    id,
		Epoch:        epoch,
		Lead:         lead,
		DriftMargin:  lead/100 + 100*time.Millisecond,
		PollInterval: time.Second,
		MinLease:     lead / 10,
		RetryPause:   200 * time.Millisecond,
		RetainEnded:  time.Hour,
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

	workers  map[model.WorkerID]*worker
	attempts map[model.TaskID]*attempt // those that may be running
	ending   map[platform.TaskRef]bool // ended, and not yet logged so

	horizon    time.Time // no lease granted outlasts it
	confirming bool
	priorEnd   time.Time // no lease of an earlier epoch outlasts it
	begun      time.Time // when the epoch began on this VM
	settled    bool      // the record was told so
	recovering int       // attempts of earlier epochs not yet adopted or ended

	pending      []*item // to be logged by the next append
	out          []*item // being logged
	outToken     Token
	outSince     time.Time
	retryAt      time.Time // no append and no placement before it
	submissions  map[model.JobID]*submission
	keys         map[jobKey]model.JobID // of submissions that are not durable yet
	sinceShot    int                    // appends since the newest snapshot
	snapshotting bool
	waits        map[model.JobID]*wait      // of jobs without an attempt
	waitsSeen    time.Time                  // when waits were last looked for
	endsSeen     time.Time                  // when ends of handed jobs were last asked for
	leaving      map[model.JobID]*departure // being handed out
	arriving     map[model.JobID][]Token    // hand-ins being logged, with the callers that wait
	swept        time.Time                  // when ended jobs were last looked for
	position     int64

	summary  membership.PartitionSummary
	summedAt time.Time

	commands []Command
	deposed  bool
	now      time.Time // of the input being taken
}

// NewOwner starts an epoch from what the log holds. horizon is Log.Horizon.
func NewOwner(opts OwnerOptions, replay Replay, horizon time.Time, decider schedule.Decider, now time.Time) (*Owner, error) {
	s, err := restoreState(replay.Snapshot, replay.Records)
	if err != nil {
		return nil, err
	}
	o := &Owner{
		opts: opts, decider: decider, state: s, horizon: horizon, now: now, begun: now,
		workers:     map[model.WorkerID]*worker{},
		attempts:    map[model.TaskID]*attempt{},
		ending:      map[platform.TaskRef]bool{},
		submissions: map[model.JobID]*submission{},
		keys:        map[jobKey]model.JobID{},
		waits:       map[model.JobID]*wait{},
		leaving:     map[model.JobID]*departure{},
		arriving:    map[model.JobID][]Token{},
		priorEnd:    replay.TakenAt.Add(replay.PreviousLead),
		sinceShot:   len(replay.Records),
		position:    replay.Position,
		settled:     replay.PreviousLead == 0,
	}
	o.withdrawer, _ = decider.(schedule.Withdrawer)
	for _, j := range s.ordered() {
		o.recoverJob(j)
		if j.HandedTo != "" && !j.Acknowledged {
			o.leaving[j.Job.ID] = &departure{to: j.HandedTo, try: j.Tries, durable: true}
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

// Deposed reports whether another owner was met; the owner then does nothing more.
func (o *Owner) Deposed() bool { return o.deposed }

// SetBranches passes the branches in force to the decision.
func (o *Owner) SetBranches(now time.Time, branches []model.Branch) {
	if !o.begin(now) {
		return
	}
	o.decider.SetBranches(now, branches)
	o.advance()
}

// Tick lets time pass: leases lapse, workers are polled, the horizon is renewed.
func (o *Owner) Tick(now time.Time) {
	if !o.begin(now) {
		return
	}
	o.lapseLeases()
	o.confirmIfDue()
	o.settleIfDue()
	o.pollWorkers()
	o.retryStops()
	o.startReady()
	o.dropEndedJobs()
	o.offerWaiting()
	o.repeatHandIns()
	o.askEnded()
	o.advance()
}

// Depose ends the epoch on this VM: nothing more is decided or granted. Submissions
// that wait for the log are answered by their append.
func (o *Owner) Depose(now time.Time, reason string) {
	if !o.begin(now) {
		return
	}
	o.depose(reason)
}

func (o *Owner) depose(reason string) {
	if o.deposed {
		return
	}
	o.deposed = true
	o.commands = slices.DeleteFunc(o.commands, func(c Command) bool { return !outlivesEpoch(c) })
	o.emit(o.notice(NoticeDeposed, nil, reason))
	o.failPending(ErrDeposed)
}

// begin takes the time of an input; false says that the epoch has ended.
func (o *Owner) begin(now time.Time) bool {
	o.now = now
	return !o.deposed
}

// advance decides and logs what the input made possible.
func (o *Owner) advance() {
	if o.deposed {
		return
	}
	o.decide()
	o.flush()
}

// emit adds a command; once deposed, only what asks for no action.
func (o *Owner) emit(c Command) {
	if !o.deposed || outlivesEpoch(c) {
		o.commands = append(o.commands, c)
	}
}

// outlivesEpoch reports whether the command is carried out after a deposition.
func outlivesEpoch(c Command) bool {
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
