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
	tick          = 50 * time.Millisecond  // bounds how late a timer of the dispatcher fires
	flushLinger   = 80 * time.Millisecond  // gathers ends into one write; it delays only their acknowledgement
	flushTimeout  = 450 * time.Millisecond // of one write at least; a lost answer delays what callers are told
	flushPatience = 3                      // times the store's answer to a renewal, which a slow store takes for a write
	maxFlushes    = 8                      // writes out at once while the store is slow
	flushGap      = 20 * time.Millisecond  // between them: longer than a healthy store takes, so that there is one
	flushRetry    = 100 * time.Millisecond
	mailboxSize   = 4096
	drainMail     = 512 // messages taken before the next decision
	loadRetry     = 100 * time.Millisecond
	loadTimeout   = 3 * time.Second
	listEvery     = 500 * time.Millisecond // reading of the workers' entries; the draining bound is 2 s
	listSeldom    = time.Second            // the same for many workers, still below the draining bound
	manyWorkers   = 500
	listTimeout   = 1500 * time.Millisecond
	returnOfStore = 2200 * time.Millisecond // after an outage, entries of live workers are back within about 2 s
	watchWait     = 700 * time.Millisecond  // a watch that went silent is noticed after this and the timeout
	watchTimeout  = watchWait + 700*time.Millisecond
	watchRetry    = 100 * time.Millisecond

	machineTimeout = 1500 * time.Millisecond // of an order to the control plane of machines, which may be slow
)

// AdviceCaller asks for advice from one of several VMs, each of which may have one call out.
type AdviceCaller interface {
	// Advise blocks until a VM has asked.
	Advise(ctx context.Context, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
	// Slots is the number of VMs that can be asked at once.
	Slots() int
}

// Predecessor learns that an earlier owner decides no more, and when it had ceased to.
type Predecessor interface {
	// Ended asks the VM once; false: it is not known.
	Ended(ctx context.Context, earlier Record, fence int64) (at time.Duration, ok bool)
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
	Store      fleet.Store
	Workers    fleet.WorkerClient
	Machines   fleet.MachineClient
	Advice     AdviceCaller
	Earlier    Predecessor
	Successors Successors
	Events     event.Recorder
	Scope      tally.Scope
	Clock      Clock
	Codec      Codec
	LeaseTTL   time.Duration    // of the authority
	Dispatch   dispatch.Options // without Fence
}

// Owner runs the dispatcher while the authority lasts. The dispatcher and conf belong to
// the loop's goroutine; everything else posts to it.
type Owner struct {
	opts       Options
	authority  *Authority
	dispatcher *dispatch.Dispatcher
	mail       *mailbox
	group      *errgroup.Group
	decided    chan struct{} // closed when nothing is decided any more
	ended      chan struct{} // closed when the authority is given up, too
	standDown  chan struct{} // closed when a successor asks this owner to end
	standOnce  sync.Once
	successor  atomic.Pointer[string] // address of the VM that takes over; nil: whoever is first

	revisions    map[string]int64 // of the records this owner writes, as last known
	flushes      int              // writes that are out
	flushDue     time.Duration
	flushSent    time.Duration // of the last one
	flushRetryAt time.Duration // after one that failed
	authorized   bool
	lostAt       time.Duration
	startDelay   tally.Histogram
	holdTime     tally.Histogram
	invalid      sync.Map // revision of each invalid entry, by key
}

// errDeposed ends Run.
var errDeposed = errors.New("owner: deposed")

// New returns an owner that has not loaded anything yet.
func New(opts Options, authority *Authority) *Owner {
	opts.Dispatch.Fence = authority.Fence
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &Owner{
		opts: opts, authority: authority,
		mail:       newMailbox(opts.Clock),
		decided:    make(chan struct{}),
		ended:      make(chan struct{}),
		standDown:  make(chan struct{}),
		revisions:  map[string]int64{},
		startDelay: opts.Scope.Histogram("start_order_seconds", buckets),
		holdTime:   opts.Scope.Histogram("hold_seconds", buckets),
	}
}

// Run decides until ctx is done or the authority is lost, and says why it ended. It gives
// the authority up at the end.
func (o *Owner) Run(ctx context.Context, why string) error {
	group, ctx := errgroup.WithContext(ctx)
	o.group = group
	group.Go(func() error { return o.authority.Keep(ctx) })
	group.Go(func() error {
		select {
		case <-o.standDown:
			return errors.Wrap(errDeposed, "a successor asked it to end")
		case <-ctx.Done():
			return nil
		}
	})
	group.Go(func() error {
		// Watches end a little later; a successor need not wait for them, and followers learn
		// of the end once the key is free.
		defer close(o.ended)
		defer o.resign(ctx)
		defer close(o.decided)
		state, err := o.load(ctx)
		if err != nil {
			return err
		}
		o.adopt(state, why)
		group.Go(func() error { return o.handOver(ctx) })
		group.Go(func() error { o.settlePredecessor(ctx, state.recorded.Owner); return nil })
		group.Go(func() error { o.watchIntake(ctx, state.revision); return nil })
		group.Go(func() error { o.listWorkers(ctx); return nil })
		return o.loop(ctx)
	})
	err := group.Wait()
	o.opts.Events.Record(event.OwnerDeposed, o.authority.Fence, err)
	return err
}

// post hands a message to the loop; it is dropped when the owner has ended.
func (o *Owner) post(ctx context.Context, f func(now time.Duration)) {
	o.mail.post(ctx, f)
}

// loop is the one goroutine that touches the dispatcher.
func (o *Owner) loop(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case msg := <-o.mail.messages:
			msg.do(msg.at)
			o.mail.drain()
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := o.opts.Clock()
		o.noteAuthority(now)
		if o.dispatcher.LostOwnership() {
			return errors.Wrap(errDeposed, "a worker has seen a higher fencing token")
		}
		o.dispatcher.SetAdviceSlots(o.opts.Advice.Slots())
		for _, c := range o.dispatcher.Decide(now, time.Now(), o.authorized) {
			o.execute(ctx, c)
		}
		o.flush(ctx, now)
	}
}

// noteAuthority records when the lease is not surely held, and when it is again.
func (o *Owner) noteAuthority(now time.Duration) {
	holds := o.authority.Holds(now)
	switch {
	case holds && !o.authorized && o.lostAt != 0:
		o.opts.Events.Record(event.AuthorityRegained, o.authority.Fence, now-o.lostAt)
	case !holds && o.authorized:
		o.lostAt = now
		o.opts.Events.Record(event.AuthorityLost, o.authority.Fence, time.Duration(int64(now)-o.authority.until.Load()))
	}
	o.authorized = holds
}

// execute carries out one command on a goroutine of its own.
func (o *Owner) execute(ctx context.Context, c dispatch.Command) {
	go func() {
		if after := o.perform(ctx, c); after != nil {
			o.post(ctx, after)
		}
	}()
}

// perform makes the call and returns what to tell the dispatcher.
func (o *Owner) perform(ctx context.Context, c dispatch.Command) func(time.Duration) {
	d := o.dispatcher
	switch c := c.(type) {
	case dispatch.RenewCommand:
		sent := o.opts.Clock()
		report, err := limit(ctx, c.Renew.Wait+dispatch.CommandTimeout, func(ctx context.Context) (fleet.Report, error) {
			return o.opts.Workers.RenewLease(ctx, c.To, c.Renew)
		})
		return func(now time.Duration) {
			switch {
			case err == nil:
				o.holdTime.RecordDuration(now - sent)
				d.HandleReport(now, sent, c.To.ID, c.StatusOnly, report)
			case c.StatusOnly:
				d.HandleStatusQueryFailure(c.To.ID)
			default:
				d.HandleRenewFailure(now, c.To.ID, err)
			}
		}
	case dispatch.StartCommand:
		sent := o.opts.Clock()
		err := errNotSent
		if o.authority.Holds(sent) { // the decision may be older than the lease
			_, err = limit(ctx, dispatch.CommandTimeout, func(ctx context.Context) (int64, error) {
				return o.opts.Workers.StartRun(ctx, c.To, c.Start)
			})
		}
		return func(now time.Duration) {
			o.startDelay.RecordDuration(now - sent)
			d.HandleStartResponse(now, c.Start.RunID, c.To.ID, err)
		}
	case dispatch.StopCommand:
		_, err := limit(ctx, dispatch.CommandTimeout, func(ctx context.Context) (int64, error) {
			return o.opts.Workers.StopRun(ctx, c.To, c.Run, c.Fence)
		})
		return func(now time.Duration) { d.HandleStopResponse(now, c.Run, c.To.ID, err) }
	case dispatch.PaceCommand:
		_, err := limit(ctx, dispatch.CommandTimeout, func(ctx context.Context) (int64, error) {
			return o.opts.Workers.SetPace(ctx, c.To, c.Pace)
		})
		return func(now time.Duration) { d.HandlePaceResponse(now, c.Pace.RunID, c.Pace.Percent, err) }
	case dispatch.MaintainCommand:
		_, err := limit(ctx, machineTimeout, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, o.opts.Machines.StartMaintenance(ctx, c.Request)
		})
		return func(now time.Duration) { d.HandleMaintenanceResponse(now, c.Request, err) }
	case dispatch.AdviseCommand:
		allowed, validity, err := o.opts.Advice.Advise(ctx, c.Step, c.Workers)
		return func(now time.Duration) { d.HandleAdvice(now, c.Step, c.Workers, allowed, validity, err) }
	}
	return nil
}

// errNotSent is the result of a start whose decision outlived the authority.
var errNotSent error = &fleet.CallError{Op: "start", Verdict: verdict.NotRun, Cause: errors.New("the lease is not surely held")}

func limit[T any](ctx context.Context, timeout time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx)
}
