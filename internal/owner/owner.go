package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Timing of the owner's loop.
const (
	tickInterval         = 50 * time.Millisecond  // bounds how late a dispatcher timer fires
	flushDelay           = 80 * time.Millisecond  // batches finished runs into one write; delays only their acknowledgement
	flushTimeout         = 450 * time.Millisecond // minimum for one write; a lost response delays the state that callers see
	flushTimeoutFactor   = 3                      // write timeout in renewal latencies: a slow store takes that long for a write
	maxConcurrentFlushes = 8                      // while the store is slow
	minFlushInterval     = 20 * time.Millisecond  // longer than a write to a healthy store takes, so that only one is in flight
	flushRetryDelay      = 100 * time.Millisecond
	mailboxSize          = 4096 // messages
	maxMessagesPerPass   = 512  // handled before the next decision
	loadRetryDelay       = 100 * time.Millisecond
	loadResponseTimeout  = 2 * time.Second        // of each page of the stored state
	listInterval         = 500 * time.Millisecond // between reads of the worker entries; a draining worker must be noticed within 2 s
	largeListInterval    = time.Second            // for more than largeWorkerCount workers, still below the 2 s bound
	largeWorkerCount     = 500
	listResponseTimeout  = 1500 * time.Millisecond // of each page of the worker entries
	outageSettleTime     = 2200 * time.Millisecond // after a store outage, live workers are listed again within about 2 s
	watchWait            = 700 * time.Millisecond  // long poll; watchTimeout bounds how late a watch without responses is noticed
	watchTimeout         = watchWait + 700*time.Millisecond
	watchRetryDelay      = 100 * time.Millisecond

	machineTimeout = 1500 * time.Millisecond // of a command to the machine control plane, which may be slow
)

// AdvicePool distributes calls for placement advice over several VMs, each of which makes one at a
// time. It must be safe for concurrent use.
type AdvicePool interface {
	// Advise waits for a free VM and returns the response to its call: the allowed workers with
	// their tickets, and how long the advice is valid.
	Advise(ctx context.Context, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
	// Slots returns the number of VMs that can make calls at the same time.
	Slots() int
}

// PreviousOwnerClient queries whether the previous owner has stopped making decisions.
type PreviousOwnerClient interface {
	// PreviousOwnerStopped queries the VM of the previous owner once. If that owner has stopped,
	// it returns a clock reading by which it had; ok is false if that is not known. fence is the
	// fencing token of the new owner.
	PreviousOwnerStopped(ctx context.Context, previous Record, fence int64) (at time.Duration, ok bool)
}

// ConfigurationSource provides the operators' configuration. It must be safe for concurrent use.
type ConfigurationSource interface {
	// RefreshConfiguration returns the configuration that the store has, nil if it has none. The
	// source reads only what has changed since its last read.
	RefreshConfiguration(ctx context.Context) (*fleet.Configuration, error)
}

// Codec holds the platform's key names and converts its entries.
type Codec struct {
	WorkerPrefix  string
	Worker        func(fleet.Item) (fleet.WorkerEntry, error)
	Configuration func([]byte) (*fleet.Configuration, error)

	OperatorPrefix string // of the configuration and the maintenance waves
	ConfigKey      string
	WavePrefix     string
	Wave           func(fleet.Item) (fleet.MaintenanceWave, error)
	WaveStatusKey  func(number int64) string // key of the state that operators read
	WaveState      func(fleet.WaveState) []byte
}

// Options are the dependencies and settings of an Owner.
type Options struct {
	Store         fleet.Store
	Workers       fleet.WorkerClient
	Machines      fleet.MachineClient
	Advice        AdvicePool
	PreviousOwner PreviousOwnerClient
	Successor     SuccessorClient
	Configuration ConfigurationSource
	Events        event.Recorder
	Scope         tally.Scope
	Clock         Clock
	Codec         Codec
	LeaseTTL      time.Duration    // of the owner key
	Heartbeat     time.Duration    // interval in which workers write their entries
	MaxValueBytes int              // of a value in the store; 0: unlimited
	Dispatch      dispatch.Options // New sets Fence
}

// Owner runs the dispatcher while this VM holds ownership. Only the goroutine of runLoop uses the
// dispatcher and the flush state; other goroutines post messages to it. The exported methods are
// safe for concurrent use.
type Owner struct {
	opts             Options
	ownership        *Ownership
	dispatcher       *dispatch.Dispatcher
	mailbox          *mailbox
	group            *errgroup.Group
	decisionsStopped chan struct{} // closed when no more decisions are made
	done             chan struct{} // closed when ownership has been given up, too
	stepDown         chan struct{} // closed when a successor requests that this owner ends
	stepDownOnce     sync.Once
	successorAddress atomic.Pointer[string] // of the VM that takes over; nil: none, an election follows

	revisions        map[string]int64 // last known revision of each record that this owner writes, by key
	workersRevision  atomic.Int64     // of the record of workers that this owner wrote; 0: not written yet
	flushesInFlight  int
	nextFlushAt      time.Duration
	lastFlushAt      time.Duration
	flushRetryAt     time.Duration // no flush before this time, after a failed one
	leaseHeld        bool
	leaseLostAt      time.Duration
	startLatency     tally.Histogram
	renewalLatency   tally.Histogram
	decisions        *decisionMeter
	commandTimeout   commandTimeout
	invalidRevisions sync.Map // revision of each invalid entry, by key
}

// errOwnershipLost ends Run.
var errOwnershipLost = errors.New("owner: lost ownership")

// New returns an owner that has not loaded the stored state yet.
func New(opts Options, ownership *Ownership) *Owner {
	opts.Dispatch.Fence = ownership.Fence
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &Owner{
		opts: opts, ownership: ownership,
		mailbox:          newMailbox(opts.Clock),
		decisionsStopped: make(chan struct{}),
		done:             make(chan struct{}),
		stepDown:         make(chan struct{}),
		revisions:        map[string]int64{},
		decisions:        newDecisionMeter(opts.Scope, buckets),
		startLatency:     opts.Scope.Histogram("start_order_seconds", buckets),
		renewalLatency:   opts.Scope.Histogram("hold_seconds", buckets),
	}
}

// Run loads the stored state and schedules until ctx is done or ownership is lost. It returns the
// cause if it ended by itself, and gives up ownership before it returns. reason is the reason for
// the election, recorded in events.
func (o *Owner) Run(ctx context.Context, reason string) error {
	group, ctx := errgroup.WithContext(ctx)
	o.group = group
	group.Go(func() error { return o.ownership.KeepAlive(ctx, o.reacquire) })
	group.Go(func() error {
		select {
		case <-o.stepDown:
			return errors.Wrap(errOwnershipLost, "the new owner requested the step-down")
		case <-ctx.Done():
			return nil
		}
	})
	group.Go(func() error {
		// The watches end a little later. A successor does not wait for them, and followers are
		// notified of the end once the owner key is free.
		defer close(o.done)
		defer o.resign(ctx)
		defer close(o.decisionsStopped)
		state, err := o.load(ctx)
		if err != nil {
			return err
		}
		o.restore(state, reason)
		group.Go(func() error { return o.watchForHandover(ctx) })
		group.Go(func() error { o.awaitPreviousOwner(ctx, state.workersRecord.Owner); return nil })
		group.Go(func() error { o.watchIntake(ctx, state.intakeRevision); return nil })
		group.Go(func() error { o.listWorkers(ctx, state.workers, state.workersReadAt); return nil })
		group.Go(func() error { o.publishAccounts(ctx); return nil })
		return o.runLoop(ctx)
	})
	err := group.Wait()
	o.opts.Events.Record(event.OwnershipLost, o.ownership.Fence, err)
	return err
}

// post queues a message for the loop; the message is dropped if ctx is done first.
func (o *Owner) post(ctx context.Context, f func(now time.Duration)) {
	o.mailbox.post(ctx, f)
}

// runLoop handles messages and makes decisions. It runs on the only goroutine that uses the
// dispatcher.
func (o *Owner) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case msg := <-o.mailbox.messages:
			msg.handle(msg.postedAt)
			o.mailbox.handleQueued()
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := o.opts.Clock()
		o.updateLeaseState(now)
		if o.dispatcher.LostOwnership() {
			return errors.Wrap(errOwnershipLost, "a worker has seen a higher fencing token")
		}
		o.dispatcher.SetAdviceSlots(o.opts.Advice.Slots())
		commands := o.dispatcher.Decide(now, time.Now(), o.leaseHeld)
		o.decisions.record(now, o.opts.Clock(), o.dispatcher, o.opts.Events)
		for _, c := range commands {
			o.execute(ctx, c)
		}
		o.flushProgress(ctx, now)
	}
}

// updateLeaseState updates whether the lease is known to be held, and records events when it no
// longer is and when it is again.
func (o *Owner) updateLeaseState(now time.Duration) {
	held := o.ownership.HeldAt(now)
	switch {
	case held && !o.leaseHeld && o.leaseLostAt != 0:
		o.opts.Events.Record(event.OwnerLeaseConfirmed, o.ownership.Fence, now-o.leaseLostAt)
	case !held && o.leaseHeld:
		o.leaseLostAt = now
		o.opts.Events.Record(event.OwnerLeaseUncertain, o.ownership.Fence, time.Duration(int64(now)-o.ownership.heldUntil.Load()))
	}
	o.leaseHeld = held
}

// execute runs a command on a goroutine of its own and posts its result to the loop.
func (o *Owner) execute(ctx context.Context, c dispatch.Command) {
	go func() {
		if report := o.runCommand(ctx, c); report != nil {
			o.post(ctx, report)
		}
	}()
}

// runCommand makes the call of a command and returns the function that reports its result to the
// dispatcher, which must run on the loop.
func (o *Owner) runCommand(ctx context.Context, c dispatch.Command) func(time.Duration) {
	d := o.dispatcher
	switch c := c.(type) {
	case dispatch.RenewCommand:
		sent := o.opts.Clock()
		report, err := sendCommand(ctx, o, c.Renew.Wait, func(ctx context.Context) (fleet.Report, error) {
			return o.opts.Workers.RenewLease(ctx, c.To, c.Renew)
		})
		return func(now time.Duration) {
			switch {
			case err == nil:
				o.renewalLatency.RecordDuration(now - sent)
				d.HandleReport(now, sent, c.To.ID, c.StatusOnly, report)
			case c.StatusOnly:
				d.HandleStatusQueryFailure(c.To.ID)
			default:
				d.HandleRenewFailure(now, c.To.ID, err)
			}
		}
	case dispatch.StartCommand:
		sent := o.opts.Clock()
		clock, err := int64(0), errLeaseNotHeld
		if o.maySendStart(sent, c) { // the lease may have expired since the decision
			clock, err = sendCommand(ctx, o, 0, func(ctx context.Context) (int64, error) {
				return o.opts.Workers.StartRun(ctx, c.To, c.Start)
			})
		}
		return func(now time.Duration) {
			o.startLatency.RecordDuration(now - sent)
			d.HandleStartResponse(now, c.Start.RunID, c.To.ID, clock, err)
		}
	case dispatch.StopCommand:
		_, err := sendCommand(ctx, o, 0, func(ctx context.Context) (int64, error) {
			return o.opts.Workers.StopRun(ctx, c.To, c.Run, c.Fence)
		})
		return func(now time.Duration) { d.HandleStopResponse(now, c.Run, c.To.ID, err) }
	case dispatch.PaceCommand:
		_, err := sendCommand(ctx, o, 0, func(ctx context.Context) (int64, error) {
			return o.opts.Workers.SetPace(ctx, c.To, c.Pace)
		})
		return func(now time.Duration) { d.HandlePaceResponse(now, c.Pace.RunID, c.Pace.Percent, err) }
	case dispatch.MaintainCommand:
		err := errLeaseNotHeld
		if o.ownership.HeldAt(o.opts.Clock()) { // not every control plane checks the fencing token
			_, err = withTimeout(ctx, machineTimeout, func(ctx context.Context) (struct{}, error) {
				return struct{}{}, o.opts.Machines.StartMaintenance(ctx, c.Request)
			})
		}
		return func(now time.Duration) { d.HandleMaintenanceResponse(now, c.Request, err) }
	case dispatch.AdviseCommand:
		allowed, validity, err := o.opts.Advice.Advise(ctx, c.Step, c.Workers)
		return func(now time.Duration) { d.HandleAdvice(now, c.Step, c.Workers, allowed, validity, err) }
	}
	return nil
}

// maySendStart reports whether a decision to start a run is still valid.
func (o *Owner) maySendStart(now time.Duration, c dispatch.StartCommand) bool {
	if c.SuspendedUntil != 0 {
		return now < c.SuspendedUntil && !o.Ended()
	}
	return o.ownership.HeldAt(now)
}

// errLeaseNotHeld is the result of a command that was not sent because the lease may have expired
// since the decision.
var errLeaseNotHeld error = &fleet.CallError{Op: "command", Verdict: verdict.NotRun, Cause: errors.New("the owner lease may have expired")}

// sendCommand makes the call of a command to a worker, whose response may take as long as the
// long poll of length wait and the command timeout.
func sendCommand[T any](ctx context.Context, o *Owner, wait time.Duration, call func(context.Context) (T, error)) (T, error) {
	sent := o.opts.Clock()
	result, err := withTimeout(ctx, wait+o.commandTimeout.current(), call)
	if err == nil {
		o.commandTimeout.observe(o.opts.Clock()-sent, wait)
	}
	return result, err
}

func withTimeout[T any](ctx context.Context, timeout time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx)
}
