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
	tickInterval         = 50 * time.Millisecond  // bounds how late a timer of the dispatcher fires
	flushDelay           = 80 * time.Millisecond  // gathers ends into one write; it delays only their acknowledgement
	flushTimeout         = 450 * time.Millisecond // of one write at least; a lost answer delays what callers are told
	flushTimeoutFactor   = 3                      // times the store's answer to a renewal, which a slow store takes for a write
	maxConcurrentFlushes = 8                      // writes out at once while the store is slow
	minFlushInterval     = 20 * time.Millisecond  // between them: longer than a healthy store takes, so that there is one
	flushRetryDelay      = 100 * time.Millisecond
	mailboxSize          = 4096
	maxMessagesPerPass   = 512 // messages taken before the next decision
	loadRetryDelay       = 100 * time.Millisecond
	loadTimeout          = 3 * time.Second
	listInterval         = 500 * time.Millisecond // reading of the workers' entries; the draining bound is 2 s
	largeListInterval    = time.Second            // the same for many workers, still below the draining bound
	largeWorkerCount     = 500
	listTimeout          = 1500 * time.Millisecond
	outageSettleTime     = 2200 * time.Millisecond // after an outage, entries of live workers are back within about 2 s
	watchWait            = 700 * time.Millisecond  // a watch that went silent is noticed after this and the timeout
	watchTimeout         = watchWait + 700*time.Millisecond
	watchRetryDelay      = 100 * time.Millisecond

	machineTimeout = 1500 * time.Millisecond // of an order to the control plane of machines, which may be slow
)

// AdviceCaller asks for advice from one of several VMs, each of which may have one call out.
type AdviceClient interface {
	// Advise blocks until a VM has asked.
	Advise(ctx context.Context, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
	// Slots is the number of VMs that can be asked at once.
	Slots() int
}

// Predecessor learns that an earlier owner decides no more, and when it had ceased to.
type PreviousOwnerClient interface {
	// Ended asks the VM once; false: it is not known.
	PreviousOwnerStopped(ctx context.Context, earlier Record, fence int64) (at time.Duration, ok bool)
}

// Codec translates the platform's entries.
type Codec struct {
	WorkerPrefix  string
	Worker        func(fleet.Item) (fleet.WorkerEntry, error)
	Configuration func([]byte) (*fleet.Configuration, error)

	OperatorPrefix string // of the configuration and of the waves
	ConfigKey      string
	WavePrefix     string
	Wave           func(fleet.Item) (fleet.MaintenanceWave, error)
	WaveStatusKey  func(number int64) string // what operators read
	WaveState      func(fleet.WaveState) []byte
}

// Options are the owner's parts and settings.
type Options struct {
	Store         fleet.Store
	Workers       fleet.WorkerClient
	Machines      fleet.MachineClient
	Advice        AdviceClient
	PreviousOwner PreviousOwnerClient
	Successor     SuccessorClient
	Events        event.Recorder
	Scope         tally.Scope
	Clock         Clock
	Codec         Codec
	LeaseTTL      time.Duration    // of the authority
	Dispatch      dispatch.Options // without Fence
}

// Owner runs the dispatcher while the authority lasts. The dispatcher and conf belong to
// the loop's goroutine; everything else posts to it.
type Owner struct {
	opts             Options
	ownership        *Ownership
	dispatcher       *dispatch.Dispatcher
	mailbox          *mailbox
	group            *errgroup.Group
	decisionsStopped chan struct{} // closed when nothing is decided any more
	done             chan struct{} // closed when the authority is given up, too
	stepDown         chan struct{} // closed when a successor asks this owner to end
	stepDownOnce     sync.Once
	successorAddress atomic.Pointer[string] // address of the VM that takes over; nil: whoever is first

	revisions        map[string]int64 // of the records this owner writes, as last known
	flushesInFlight  int              // writes that are out
	nextFlushAt      time.Duration
	lastFlushAt      time.Duration // of the last one
	flushRetryAt     time.Duration // after one that failed
	leaseHeld        bool
	leaseLostAt      time.Duration
	startLatency     tally.Histogram
	renewalLatency   tally.Histogram
	invalidRevisions sync.Map // revision of each invalid entry, by key
}

// errDeposed ends Run.
var errOwnershipLost = errors.New("owner: deposed")

// New returns an owner that has not loaded anything yet.
func New(opts Options, authority *Ownership) *Owner {
	opts.Dispatch.Fence = authority.Fence
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &Owner{
		opts: opts, ownership: authority,
		mailbox:          newMailbox(opts.Clock),
		decisionsStopped: make(chan struct{}),
		done:             make(chan struct{}),
		stepDown:         make(chan struct{}),
		revisions:        map[string]int64{},
		startLatency:     opts.Scope.Histogram("start_order_seconds", buckets),
		renewalLatency:   opts.Scope.Histogram("hold_seconds", buckets),
	}
}

// Run decides until ctx is done or the authority is lost, and says why it ended. It gives
// the authority up at the end.
func (o *Owner) Run(ctx context.Context, why string) error {
	group, ctx := errgroup.WithContext(ctx)
	o.group = group
	group.Go(func() error { return o.ownership.KeepAlive(ctx) })
	group.Go(func() error {
		select {
		case <-o.stepDown:
			return errors.Wrap(errOwnershipLost, "a successor asked it to end")
		case <-ctx.Done():
			return nil
		}
	})
	group.Go(func() error {
		// Watches end a little later; a successor need not wait for them, and followers learn
		// of the end once the key is free.
		defer close(o.done)
		defer o.resign(ctx)
		defer close(o.decisionsStopped)
		state, err := o.load(ctx)
		if err != nil {
			return err
		}
		o.restore(state, why)
		group.Go(func() error { return o.watchForHandover(ctx) })
		group.Go(func() error { o.awaitPreviousOwner(ctx, state.workersRecord.Owner); return nil })
		group.Go(func() error { o.watchIntake(ctx, state.intakeRevision); return nil })
		group.Go(func() error { o.listWorkers(ctx); return nil })
		return o.runLoop(ctx)
	})
	err := group.Wait()
	o.opts.Events.Record(event.OwnerDeposed, o.ownership.Fence, err)
	return err
}

// post hands a message to the loop; it is dropped when the owner has ended.
func (o *Owner) post(ctx context.Context, f func(now time.Duration)) {
	o.mailbox.post(ctx, f)
}

// loop is the one goroutine that touches the dispatcher.
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
		if o.dispatcher.Deposed() {
			return errors.Wrap(errOwnershipLost, "a worker has seen a higher fencing token")
		}
		o.dispatcher.SetAdviceSlots(o.opts.Advice.Slots())
		for _, c := range o.dispatcher.Decide(now, time.Now(), o.leaseHeld) {
			o.execute(ctx, c)
		}
		o.flushProgress(ctx, now)
	}
}

// noteAuthority records when the lease is not surely held, and when it is again.
func (o *Owner) updateLeaseState(now time.Duration) {
	holds := o.ownership.HeldAt(now)
	switch {
	case holds && !o.leaseHeld && o.leaseLostAt != 0:
		o.opts.Events.Record(event.AuthorityRegained, o.ownership.Fence, now-o.leaseLostAt)
	case !holds && o.leaseHeld:
		o.leaseLostAt = now
		o.opts.Events.Record(event.AuthorityLost, o.ownership.Fence, time.Duration(int64(now)-o.ownership.heldUntil.Load()))
	}
	o.leaseHeld = holds
}

// execute carries out one command on a goroutine of its own.
func (o *Owner) execute(ctx context.Context, c dispatch.Command) {
	go func() {
		if after := o.runCommand(ctx, c); after != nil {
			o.post(ctx, after)
		}
	}()
}

// perform makes the call and returns what to tell the dispatcher.
func (o *Owner) runCommand(ctx context.Context, c dispatch.Command) func(time.Duration) {
	d := o.dispatcher
	switch c := c.(type) {
	case dispatch.HoldCommand:
		sent := o.opts.Clock()
		report, err := withTimeout(ctx, c.Hold.Wait+dispatch.OrderTimeout, func(ctx context.Context) (fleet.Report, error) {
			return o.opts.Workers.RenewLease(ctx, c.To, c.Hold)
		})
		return func(now time.Duration) {
			switch {
			case err == nil:
				o.renewalLatency.RecordDuration(now - sent)
				d.Report(now, sent, c.To.ID, c.Look, report)
			case c.Look:
				d.LookFailed(c.To.ID)
			default:
				d.HoldFailed(now, c.To.ID, err)
			}
		}
	case dispatch.StartCommand:
		sent := o.opts.Clock()
		err := errLeaseNotHeld
		if o.ownership.HeldAt(sent) { // the decision may be older than the lease
			_, err = withTimeout(ctx, dispatch.OrderTimeout, func(ctx context.Context) (int64, error) {
				return o.opts.Workers.StartRun(ctx, c.To, c.Start)
			})
		}
		return func(now time.Duration) {
			o.startLatency.RecordDuration(now - sent)
			d.Started(now, c.Start.RunID, c.To.ID, err)
		}
	case dispatch.StopCommand:
		_, err := withTimeout(ctx, dispatch.OrderTimeout, func(ctx context.Context) (int64, error) {
			return o.opts.Workers.StopRun(ctx, c.To, c.Run, c.Fence)
		})
		return func(now time.Duration) { d.Stopped(now, c.Run, c.To.ID, err) }
	case dispatch.PaceCommand:
		_, err := withTimeout(ctx, dispatch.OrderTimeout, func(ctx context.Context) (int64, error) {
			return o.opts.Workers.SetPace(ctx, c.To, c.Pace)
		})
		return func(now time.Duration) { d.Paced(now, c.Pace.RunID, c.Pace.Percent, err) }
	case dispatch.MaintainCommand:
		_, err := withTimeout(ctx, machineTimeout, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, o.opts.Machines.StartMaintenance(ctx, c.Order)
		})
		return func(now time.Duration) { d.Maintained(now, c.Order, err) }
	case dispatch.AdviseCommand:
		allowed, validity, err := o.opts.Advice.Advise(ctx, c.Step, c.Workers)
		return func(now time.Duration) { d.Advised(now, c.Step, c.Workers, allowed, validity, err) }
	}
	return nil
}

// errNotSent is the result of a start whose decision outlived the authority.
var errLeaseNotHeld error = &fleet.CallError{Op: "start", Verdict: verdict.NotRun, Cause: errors.New("the lease is not surely held")}

func withTimeout[T any](ctx context.Context, timeout time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx)
}
