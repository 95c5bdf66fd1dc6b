package server

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

const methodLayout peer.Method = "layout.get"

const (
	assignInterval = 200 * time.Millisecond
	// releaseGrace is how long a live owner that is no longer wanted has for
	// giving a partition up before it is taken from it.
	releaseGrace = 3 * time.Second
	// wantedDelay is how long another VM must be wanted before a partition is released to it.
	wantedDelay = time.Second
	// startDelay is how long a VM listens for the others before it takes anything
	// over, so that VMs that start together do not hand everything around.
	startDelay = time.Second
	// takeoverRetry is the wait after a takeover that failed.
	takeoverRetry = 500 * time.Millisecond
	// storeCallsPerTakeover bounds one takeover: its timeout is that many store timeouts.
	storeCallsPerTakeover = 10
)

// tenancies hosts the partitions that this VM owns. Safe for concurrent use.
type tenancies interface {
	// Host starts to decide for a partition that was taken over.
	Host(info partition.Info, log *partition.Log, replay partition.Replay)
	// Withdraw stops deciding for a partition, grants nothing from then on and
	// returns its log; false if this VM does not host it.
	Withdraw(id model.PartitionID) (*partition.Log, bool)
	// Hosted returns the partitions that this VM owns.
	Hosted() map[model.PartitionID]int64
}

// assigner moves partitions to the VMs that are wanted as their owners: it takes
// over what this VM shall own and releases the rest. One goroutine runs it.
type assigner struct {
	settings config.Settings
	store    platform.Store
	view     membership.View
	caller   peer.Caller
	host     tenancies
	recorder event.Recorder
	interval func() time.Duration // least time between writes of a partition's log

	mu     sync.Mutex
	layout partition.Layout
	loaded bool
	vms    []platform.VM
	heard  time.Time // when the first list was taken

	attempts map[model.PartitionID]*attempt
	leaving  bool
	moves    sync.WaitGroup // takeovers and releases on their way; added to under mu while not leaving

	now func() time.Time
}

// attempt is the state of a partition that this VM does not yet, or no longer, want.
type attempt struct {
	since   time.Time // of the present wish
	retryAt time.Time
	busy    bool
}

func newAssigner(settings config.Settings, store platform.Store, view membership.View, caller peer.Caller, host tenancies, recorder event.Recorder) *assigner {
	a := &assigner{
		settings: settings,
		store:    store,
		view:     view,
		caller:   caller,
		host:     host,
		recorder: recorder,
		attempts: map[model.PartitionID]*attempt{},
		now:      time.Now,
	}
	a.interval = a.logInterval
	return a
}

// SetList takes the platform's list.
func (a *assigner) SetList(vms []platform.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vms = vms
	if a.heard.IsZero() {
		a.heard = a.now()
	}
}

// Layout returns the layout of the partitions, if it is known.
func (a *assigner) Layout() (partition.Layout, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.layout, a.loaded
}

// logInterval shares the budget of store writes out among all partitions.
func (a *assigner) logInterval() time.Duration {
	layout, _ := a.Layout()
	return time.Duration(len(layout.Partitions())) * time.Second / time.Duration(a.settings.StoreWrites)
}

// Run assigns until the context ends.
func (a *assigner) Run(ctx context.Context) error {
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.loadLayout(ctx)
			a.step(ctx)
		}
	}
}

// loadLayout reads the layout, and extends it when the list shows a worker that it has no place for.
func (a *assigner) loadLayout(ctx context.Context) {
	a.mu.Lock()
	layout, loaded, vms := a.layout, a.loaded, a.vms
	a.mu.Unlock()
	if vms == nil || (loaded && !hasUnplaced(layout, vms)) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
	defer cancel()
	read, err := partition.LoadLayout(bounded, a.store, vms, a.settings.KeyPartitions)
	if err != nil && !loaded {
		read, err = a.layoutOfPeer(ctx, err)
	}
	if err != nil {
		a.recorder.Record(event.LayoutFailed, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.layout, a.loaded = read, true
}

// layoutAnswer is the layout that a VM knows.
type layoutAnswer struct {
	Layout partition.Layout `json:"layout"`
	Known  bool             `json:"known"`
}

// layoutOfPeer asks the other VMs, so that one that starts in an outage of the
// store can serve; without an answer it returns the store's error.
func (a *assigner) layoutOfPeer(ctx context.Context, storeError error) (partition.Layout, error) {
	for _, m := range a.view.Members() {
		if m.ID == a.view.Self().ID || m.State != membership.Alive {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
		var answer layoutAnswer
		err := a.caller.Call(bounded, m.Address, methodLayout, struct{}{}, &answer)
		cancel()
		if err == nil && answer.Known {
			return answer.Layout, nil
		}
	}
	return partition.Layout{}, storeError
}

func hasUnplaced(layout partition.Layout, vms []platform.VM) bool {
	for _, vm := range vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		if _, placed := layout.WorkerPartition(vm); !placed {
			return true
		}
	}
	return false
}

// step compares what this VM hosts with what it is wanted for.
func (a *assigner) step(ctx context.Context) {
	now := a.now()
	layout, loaded := a.Layout()
	if !loaded {
		return
	}
	members := a.view.Members()
	self := a.view.Self().ID
	wanted := partition.AssignOwners(layout.Partitions(), members)
	hosted := a.host.Hosted()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || now.Sub(a.heard) < startDelay {
		return
	}
	for _, info := range layout.Partitions() {
		_, mine := hosted[info.ID]
		wish := wanted[info.ID] == self
		try := a.attempt(info.ID, now, mine == wish)
		if mine == wish || try.busy || now.Before(try.retryAt) {
			continue
		}
		if !wish && (wanted[info.ID] == "" || now.Sub(try.since) < wantedDelay) {
			continue // nobody else is there, or only for a moment
		}
		try.busy = true
		a.moves.Go(func() { a.move(ctx, info, wish, try, members) })
	}
}

// attempt returns the partition's attempt; a satisfied wish starts it anew. The caller holds mu.
func (a *assigner) attempt(id model.PartitionID, now time.Time, satisfied bool) *attempt {
	try, ok := a.attempts[id]
	if !ok || (satisfied && !try.busy) {
		try = &attempt{since: now}
		a.attempts[id] = try
	}
	return try
}

func (a *assigner) move(ctx context.Context, info partition.Info, take bool, try *attempt, members []membership.Member) {
	if take {
		a.take(ctx, info, try, members)
	} else {
		a.Release(ctx, info.ID)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	try.busy = false
	try.retryAt = a.now().Add(takeoverRetry)
}

// take takes the partition over unless a live owner may still give it up by itself.
func (a *assigner) take(ctx context.Context, info partition.Info, try *attempt, members []membership.Member) {
	bounded, cancel := context.WithTimeout(ctx, storeCallsPerTakeover*a.settings.StoreTimeout)
	defer cancel()
	if a.now().Sub(try.since) < releaseGrace && a.heldByLiveOwner(bounded, info.ID, members) {
		return
	}
	begun := time.Now()
	log, replay, err := partition.TakeOver(bounded, a.store, partition.Options{
		Partition:        info.ID,
		VM:               a.view.Self().ID,
		Address:          a.view.Self().Address,
		Lead:             a.settings.LeaseLead,
		MinWriteInterval: a.interval(),
	})
	if err != nil {
		a.recorder.Record(event.TakeoverFailed, info.ID, err)
		return
	}
	a.recorder.Record(event.PartitionAcquired, info.ID, log.Epoch(), replay.PreviousOwner, len(replay.Records), time.Since(begun).Milliseconds())
	a.host.Host(info, log, replay)
}

// heldByLiveOwner reports whether the record names a live VM that has not released it.
func (a *assigner) heldByLiveOwner(ctx context.Context, id model.PartitionID, members []membership.Member) bool {
	record, err := partition.ReadOwnershipRecord(ctx, a.store, id)
	if errors.Is(err, platform.ErrNotFound) {
		return false
	}
	if err != nil {
		return true // it cannot be taken over now either
	}
	if record.Released {
		return false
	}
	for _, m := range members {
		if m.ID == record.VM {
			return m.State != membership.Dead
		}
	}
	return false
}

// Release gives a partition up so that the wanted owner can take it at once.
func (a *assigner) Release(ctx context.Context, id model.PartitionID) {
	log, hosted := a.host.Withdraw(id)
	if !hosted {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeCallsPerTakeover*a.settings.StoreTimeout)
	defer cancel()
	if err := log.Release(bounded); err != nil {
		a.recorder.Record(event.TakeoverFailed, id, err)
		return
	}
	a.recorder.Record(event.PartitionReleased, id, log.Epoch())
}

// ReleaseAll waits for the takeovers on their way, gives every partition up and
// takes none from then on.
func (a *assigner) ReleaseAll(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.moves.Wait()
	var releases sync.WaitGroup
	for id := range a.host.Hosted() {
		releases.Add(1)
		go func() {
			defer releases.Done()
			a.Release(ctx, id)
		}()
	}
	releases.Wait()
}
