package server

import (
	"math/rand/v2"
	"time"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// controlState is the state of the worker partitions that this VM owns. Only the
// control loop's goroutine uses it.
type controlState struct {
	settings     config.Settings
	recorder     event.Recorder
	startCommand func(p *ownedPartition, c partition.Command) // starts a command on another goroutine

	partitions       map[model.PartitionID]*ownedPartition
	vms              []platform.VM
	layout           partition.Layout
	branches         []model.Branch
	publishSummaries func(map[model.PartitionID]membership.PartitionSummary) // receives the summaries after every tick
}

// ownedPartition is a worker partition that this VM owns, under one epoch.
type ownedPartition struct {
	info           partition.Info
	log            *partition.Log
	owner          *partition.Owner
	pendingReplies map[partition.Token]chan partition.Reply // of waiting submissions, cancels and handovers
	onEnd          func()                                   // called once when this VM stops owning the partition
}

func newControlState(settings config.Settings, recorder event.Recorder) *controlState {
	return &controlState{settings: settings, recorder: recorder, partitions: map[model.PartitionID]*ownedPartition{}}
}

// tick advances every partition's owner to now and publishes the summaries.
func (c *controlState) tick(now time.Time) {
	for _, p := range c.partitions {
		p.owner.Tick(now)
		c.processCommands(p)
	}
	c.publishSummaries(c.summaries())
}

// processCommands executes the commands that the partition's owner has issued, and
// removes the partition if the owner has lost ownership.
func (c *controlState) processCommands(p *ownedPartition) {
	for _, command := range p.owner.Commands() {
		switch command := command.(type) {
		case partition.Notice:
			command.Record(c.recorder)
		case partition.Reply:
			p.deliver(command)
		default:
			c.startCommand(p, command)
		}
	}
	if p.owner.EpochEnded() {
		c.removePartition(p)
	}
}

func (p *ownedPartition) deliver(r partition.Reply) {
	if replies, ok := p.pendingReplies[r.Token]; ok {
		delete(p.pendingReplies, r.Token)
		replies <- r
	}
}

// removePartition removes a partition that this VM no longer owns. Callers whose records
// are being appended receive their reply when the append returns, which it always does.
func (c *controlState) removePartition(p *ownedPartition) {
	if c.partitions[p.info.ID] != p {
		return
	}
	delete(c.partitions, p.info.ID)
	p.log.Close()
	p.onEnd()
}

// addPartition starts an owner for a partition that was taken over. onEnd is called once
// when ownership ends, but not if addPartition fails.
func (c *controlState) addPartition(now time.Time, info partition.Info, log *partition.Log, replay partition.Replay, onEnd func()) error {
	options := partition.DefaultOwnerOptions(info.ID, log.Epoch(), log.Lead())
	options.PollInterval = c.settings.WorkerInterval
	options.DriftMargin = c.settings.DriftMargin
	options.HandoverAfter = handoverDelay
	seed := uint64(now.UnixNano())
	decider := schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(seed, uint64(log.Epoch()))))
	owner, err := partition.NewOwner(options, replay, log.Horizon(), decider, now)
	if err != nil {
		return err
	}
	p := &ownedPartition{info: info, log: log, owner: owner, pendingReplies: map[partition.Token]chan partition.Reply{}, onEnd: onEnd}
	c.partitions[info.ID] = p
	owner.SetBranches(now, c.branches)
	owner.WorkersListed(now, c.workersOfPartition(info.ID))
	c.processCommands(p)
	return nil
}

// workersOfPartition returns the listed workers of a partition.
func (c *controlState) workersOfPartition(id model.PartitionID) []platform.VM {
	var workers []platform.VM
	for _, vm := range c.vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		if home, ok := c.layout.WorkerPartition(vm); ok && home == id {
			workers = append(workers, vm)
		}
	}
	return workers
}

// summaries returns the partitions' summaries for the heartbeats.
func (c *controlState) summaries() map[model.PartitionID]membership.PartitionSummary {
	summaries := make(map[model.PartitionID]membership.PartitionSummary, len(c.partitions))
	for id, p := range c.partitions {
		summaries[id] = p.owner.Summary()
	}
	return summaries
}

// listChanged carries a new VM list and the layout.
type listChanged struct {
	vms    []platform.VM
	layout partition.Layout
}

func (m listChanged) apply(c *controlState, now time.Time) {
	c.vms, c.layout = m.vms, m.layout
	for id, p := range c.partitions {
		p.owner.WorkersListed(now, c.workersOfPartition(id))
		c.processCommands(p)
	}
}

// configurationChanged carries the branches of the newly active configuration.
type configurationChanged struct {
	branches []model.Branch
}

func (m configurationChanged) apply(c *controlState, now time.Time) {
	c.branches = m.branches
	for _, p := range c.partitions {
		p.owner.SetBranches(now, m.branches)
		c.processCommands(p)
	}
}

// ownerInput delivers a command's result to a partition's owner. An owner that has lost
// ownership still replies to waiting callers, but does nothing else.
type ownerInput struct {
	owned   *ownedPartition
	deliver func(o *partition.Owner, now time.Time)
}

func (m ownerInput) apply(c *controlState, now time.Time) {
	m.deliver(m.owned.owner, now)
	c.processCommands(m.owned)
}
