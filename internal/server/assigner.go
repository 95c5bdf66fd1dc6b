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
	// releaseGrace is how long a live owner has to release a partition that this VM
	// is wanted for before this VM takes it over.
	releaseGrace = 3 * time.Second
	// ownerChangeDelay is how long another VM must be the wanted owner before this VM
	// releases the partition to it.
	ownerChangeDelay = time.Second
	// initialTakeoverDelay is how long after its first VM list a VM waits for other
	// members' heartbeats before it takes over partitions, so that VMs that start
	// together do not move partitions back and forth.
	initialTakeoverDelay = time.Second
	// takeoverRetryDelay is the delay after a takeover or release of a partition before
	// the next one.
	takeoverRetryDelay = 500 * time.Millisecond
	// multiCallTimeoutFactor is the timeout, in store timeouts, of an operation that
	// makes several store calls: takeover, release or snapshot.
	multiCallTimeoutFactor = 10
)

// partitionHost serves the partitions that this VM owns. Implementations are safe for
// concurrent use.
type partitionHost interface {
	// StartHosting starts serving a partition that was taken over.
	StartHosting(info partition.Info, log *partition.Log, replay partition.Replay)
	// StopHosting stops serving a partition and returns its log; nothing is granted
	// after it returns. It returns false if this VM does not host the partition.
	StopHosting(id model.PartitionID) (*partition.Log, bool)
	// HostedEpochs returns the partitions that this VM hosts with their epochs.
	HostedEpochs() map[model.PartitionID]int64
}

// assigner takes over the partitions that this VM is the wanted owner of and releases
// the others to their wanted owners. Run is called by one goroutine; UpdateVMList, Layout
// and ReleaseAll are safe for concurrent use.
type assigner struct {
	settings       config.Settings
	store          platform.Store
	view           membership.View
	caller         peer.Caller
	host           partitionHost
	recorder       event.Recorder
	minLogInterval func() time.Duration // minimum time between writes of a partition's log

	mu           sync.Mutex
	layout       partition.Layout
	layoutLoaded bool
	vms          []platform.VM
	firstListAt  time.Time // when the first VM list arrived

	moves         map[model.PartitionID]*partitionMove
	leaving       bool
	movesInFlight sync.WaitGroup // takeovers and releases; added to only under mu and while not leaving

	now func() time.Time
}

// partitionMove is the state of a takeover or release of one partition.
type partitionMove struct {
	mismatchSince time.Time // since when hosting differs from the wanted owner
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

// UpdateVMList sets the platform's VM list.
func (a *assigner) UpdateVMList(vms []platform.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vms = vms
	if a.firstListAt.IsZero() {
		a.firstListAt = a.now()
	}
}

// Layout returns the partition layout; false until it is loaded.
func (a *assigner) Layout() (partition.Layout, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.layout, a.layoutLoaded
}

// minLogIntervalPerPartition divides the store write budget evenly among all partitions.
func (a *assigner) minLogIntervalPerPartition() time.Duration {
	layout, _ := a.Layout()
	return time.Duration(len(layout.Partitions())) * time.Second / time.Duration(a.settings.StoreWrites)
}

// Run reconciles hosted and wanted partitions until ctx is done.
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

// loadLayout reads the layout, and extends it when a listed worker belongs to none of
// its partitions.
func (a *assigner) loadLayout(ctx context.Context) {
	a.mu.Lock()
	layout, loaded, vms := a.layout, a.layoutLoaded, a.vms
	a.mu.Unlock()
	if vms == nil || (loaded && !hasWorkerOutsideLayout(layout, vms)) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
	defer cancel()
	newLayout, err := partition.LoadLayout(bounded, a.store, vms, a.settings.KeyPartitions)
	if err != nil && !loaded {
		newLayout, err = a.layoutFromPeers(ctx, err)
	}
	if err != nil {
		a.recorder.Record(event.LayoutFailed, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.layout, a.layoutLoaded = newLayout, true
}

// layoutResponse is a VM's response to methodLayout.
type layoutResponse struct {
	Layout partition.Layout `json:"layout"`
	Known  bool             `json:"known"`
}

// layoutFromPeers requests the layout from the other live VMs, so that a VM that starts
// during a store outage can serve. It returns storeError if no VM knows the layout.
func (a *assigner) layoutFromPeers(ctx context.Context, storeError error) (partition.Layout, error) {
	for _, m := range a.view.Members() {
		if m.ID == a.view.Self().ID || m.State != membership.Alive {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, a.settings.StoreTimeout)
		var reply layoutResponse
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

// reconcile starts takeovers and releases where hosted and wanted partitions differ. It
// does not wait for them.
func (a *assigner) reconcile(ctx context.Context) {
	now := a.now()
	layout, loaded := a.Layout()
	if !loaded {
		return
	}
	members := a.view.Members()
	self := a.view.Self().ID
	wanted := partition.AssignOwners(layout.Partitions(), members)
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
			continue // no other VM is wanted, or not yet for long enough
		}
		move.inFlight = true
		a.movesInFlight.Go(func() { a.runMove(ctx, info, wantedHere, move, members) })
	}
}

// moveOf returns the partition's move. It returns a new one if there is none, or if
// hosting matches the wanted owner and no move is in flight. The caller holds mu.
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

// takeOver takes the partition over unless a live owner may still release it within
// releaseGrace.
func (a *assigner) takeOver(ctx context.Context, info partition.Info, move *partitionMove, members []membership.Member) {
	bounded, cancel := context.WithTimeout(ctx, multiCallTimeoutFactor*a.settings.StoreTimeout)
	defer cancel()
	if a.now().Sub(move.mismatchSince) < releaseGrace && a.heldByLiveOwner(bounded, info.ID, members) {
		return
	}
	started := time.Now()
	log, replay, err := partition.TakeOver(bounded, a.store, partition.Options{
		Partition:        info.ID,
		VM:               a.view.Self().ID,
		Address:          a.view.Self().Address,
		Lead:             a.settings.LeaseLead,
		MinWriteInterval: a.minLogInterval(),
	})
	if err != nil {
		a.recorder.Record(event.TakeoverFailed, info.ID, err)
		return
	}
	a.recorder.Record(event.PartitionAcquired, info.ID, log.Epoch(), replay.PreviousOwner, len(replay.Records), time.Since(started).Milliseconds())
	a.host.StartHosting(info, log, replay)
}

// heldByLiveOwner reports whether the partition's record names an owner that is not dead
// and has not released the partition.
func (a *assigner) heldByLiveOwner(ctx context.Context, id model.PartitionID, members []membership.Member) bool {
	record, err := partition.ReadOwnershipRecord(ctx, a.store, id)
	if errors.Is(err, platform.ErrNotFound) {
		return false
	}
	if err != nil {
		return true // a takeover would fail on the store too
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

// Release stops hosting a partition and marks it as released in the store, so that the
// wanted owner can take it over immediately.
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

// ReleaseAll waits for moves in flight and releases all partitions. No takeover starts
// after it is called.
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
