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
	ownerChangeDelay = time.Second
	// startDelay is how long a VM listens for the others before it takes anything
	// over, so that VMs that start together do not hand everything around.
	initialTakeoverDelay = time.Second
	// takeoverRetry is the wait after a takeover that failed.
	takeoverRetryDelay = 500 * time.Millisecond
	// storeCallsPerTakeover bounds one takeover: its timeout is that many store timeouts.
	multiCallTimeoutFactor = 10
)

// tenancies hosts the partitions that this VM owns. Safe for concurrent use.
type partitionHost interface {
	// Host starts to decide for a partition that was taken over.
	StartHosting(info partition.Info, log *partition.Log, replay partition.Replay)
	// Withdraw stops deciding for a partition, grants nothing from then on and
	// returns its log; false if this VM does not host it.
	StopHosting(id model.PartitionID) (*partition.Log, bool)
	// Hosted returns the partitions that this VM owns.
	HostedEpochs() map[model.PartitionID]int64
}

// assigner moves partitions to the VMs that are wanted as their owners: it takes
// over what this VM shall own and releases the rest. One goroutine runs it.
type assigner struct {
	settings       config.Settings
	store          platform.Store
	view           membership.View
	caller         peer.Caller
	host           partitionHost
	recorder       event.Recorder
	minLogInterval func() time.Duration // least time between writes of a partition's log

	mu           sync.Mutex
	layout       partition.Layout
	layoutLoaded bool
	vms          []platform.VM
	firstListAt  time.Time // when the first list was taken

	moves         map[model.PartitionID]*partitionMove
	leaving       bool
	movesInFlight sync.WaitGroup // takeovers and releases on their way; added to under mu while not leaving

	now func() time.Time
}

// attempt is the state of a partition that this VM does not yet, or no longer, want.
type partitionMove struct {
	mismatchSince time.Time // of the present wish
	retryAt       time.Time
	inFlight      bool
}

func newAssigner(settings config.Settings, store platform.Store, view membership.View, caller peer.Caller, host partitionHost, recorder event.Recorder) *assigner {
	a := &assigner{
		settings: settings,
		store:    store,
		view:     view,
		caller:   caller,
		host:     host,
		recorder: recorder,
		moves:    map[model.PartitionID]*partitionMove{},
		now:      time.Now,
	}
	a.minLogInterval = a.minLogIntervalPerPartition
	return a
}

// SetList takes the platform's list.
func (a *assigner) UpdateVMList(vms []platform.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vms = vms
	if a.firstListAt.IsZero() {
		a.firstListAt = a.now()
	}
}

// Layout returns the layout of the partitions, if it is known.
func (a *assigner) Layout() (partition.Layout, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.layout, a.layoutLoaded
}

// logInterval shares the budget of store writes out among all partitions.
func (a *assigner) minLogIntervalPerPartition() time.Duration {
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
			a.reconcile(ctx)
		}
	}
}

// loadLayout reads the layout, and extends it when the list shows a worker that it has no place for.
func (a *assigner) loadLayout(ctx context.Context) {
	a.mu.Lock()
	layout, loaded, vms := a.layout, a.layoutLoaded, a.vms
	a.mu.Unlock()
	if vms == nil || (loaded && !hasWorkerOutsideLayout(layout, vms)) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
	defer cancel()
	read, err := partition.LoadLayout(bounded, a.store, vms, a.settings.KeyPartitions)
	if err != nil && !loaded {
		read, err = a.layoutFromPeers(ctx, err)
	}
	if err != nil {
		a.recorder.Record(event.LayoutFailed, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.layout, a.layoutLoaded = read, true
}

// layoutAnswer is the layout that a VM knows.
type layoutReply struct {
	Layout partition.Layout `json:"layout"`
	Known  bool             `json:"known"`
}

// layoutOfPeer asks the other VMs, so that one that starts in an outage of the
// store can serve; without an answer it returns the store's error.
func (a *assigner) layoutFromPeers(ctx context.Context, storeError error) (partition.Layout, error) {
	for _, m := range a.view.Members() {
		if m.ID == a.view.Self().ID || m.State != membership.Alive {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
		var reply layoutReply
		err := a.caller.Call(bounded, m.Address, methodLayout, struct{}{}, &reply)
		cancel()
		if err == nil && reply.Known {
			return reply.Layout, nil
		}
	}
	return partition.Layout{}, storeError
}

func hasWorkerOutsideLayout(layout partition.Layout, vms []platform.VM) bool {
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
func (a *assigner) reconcile(ctx context.Context) {
	now := a.now()
	layout, loaded := a.Layout()
	if !loaded {
		return
	}
	members := a.view.Members()
	self := a.view.Self().ID
	wanted := partition.Wanted(layout.Partitions(), members)
	hosted := a.host.HostedEpochs()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || now.Sub(a.firstListAt) < initialTakeoverDelay {
		return
	}
	for _, info := range layout.Partitions() {
		_, hostedHere := hosted[info.ID]
		wantedHere := wanted[info.ID] == self
		move := a.moveOf(info.ID, now, hostedHere == wantedHere)
		if hostedHere == wantedHere || move.inFlight || now.Before(move.retryAt) {
			continue
		}
		if !wantedHere && (wanted[info.ID] == "" || now.Sub(move.mismatchSince) < ownerChangeDelay) {
			continue // nobody else is there, or only for a moment
		}
		move.inFlight = true
		a.movesInFlight.Go(func() { a.runMove(ctx, info, wantedHere, move, members) })
	}
}

// attempt returns the partition's attempt; a satisfied wish starts it anew. The caller holds mu.
func (a *assigner) moveOf(id model.PartitionID, now time.Time, matches bool) *partitionMove {
	move, ok := a.moves[id]
	if !ok || (matches && !move.inFlight) {
		move = &partitionMove{mismatchSince: now}
		a.moves[id] = move
	}
	return move
}

func (a *assigner) runMove(ctx context.Context, info partition.Info, acquire bool, move *partitionMove, members []membership.Member) {
	if acquire {
		a.takeOver(ctx, info, move, members)
	} else {
		a.Release(ctx, info.ID)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	move.inFlight = false
	move.retryAt = a.now().Add(takeoverRetryDelay)
}

// take takes the partition over unless a live owner may still give it up by itself.
func (a *assigner) takeOver(ctx context.Context, info partition.Info, move *partitionMove, members []membership.Member) {
	bounded, cancel := context.WithTimeout(ctx, multiCallTimeoutFactor*a.settings.StoreTimeout)
	defer cancel()
	if a.now().Sub(move.mismatchSince) < releaseGrace && a.heldByLiveOwner(bounded, info.ID, members) {
		return
	}
	started := time.Now()
	log, replay, err := partition.TakeOver(bounded, a.store, partition.Options{
		Partition:   info.ID,
		VM:          a.view.Self().ID,
		Address:     a.view.Self().Address,
		Lead:        a.settings.LeaseLead,
		MinInterval: a.minLogInterval(),
	})
	if err != nil {
		a.recorder.Record(event.TakeoverFailed, info.ID, err)
		return
	}
	a.recorder.Record(event.PartitionTaken, info.ID, log.Epoch(), replay.PreviousOwner, len(replay.Records), time.Since(started).Milliseconds())
	a.host.StartHosting(info, log, replay)
}

// heldByLiveOwner reports whether the record names a live VM that has not released it.
func (a *assigner) heldByLiveOwner(ctx context.Context, id model.PartitionID, members []membership.Member) bool {
	record, err := partition.ReadRecord(ctx, a.store, id)
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
	log, hosted := a.host.StopHosting(id)
	if !hosted {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, multiCallTimeoutFactor*a.settings.StoreTimeout)
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
	a.movesInFlight.Wait()
	var releasesInFlight sync.WaitGroup
	for id := range a.host.HostedEpochs() {
		releasesInFlight.Add(1)
		go func() {
			defer releasesInFlight.Done()
			a.Release(ctx, id)
		}()
	}
	releasesInFlight.Wait()
}
