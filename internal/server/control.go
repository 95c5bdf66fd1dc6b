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

// control is the state of the worker partitions that this VM owns. Only the
// control loop's goroutine uses it.
type control struct {
	settings config.Settings
	recorder event.Recorder
	execute  func(t *tenure, c partition.Command) // carries a command out on another goroutine

	tenures  map[model.PartitionID]*tenure
	vms      []platform.VM
	layout   partition.Layout
	branches []model.Branch
	publish  func(map[model.PartitionID]membership.PartitionSummary) // takes the digests after every tick
}

// tenure is one worker partition under one epoch.
type tenure struct {
	info  partition.Info
	log   *partition.Log
	owner *partition.Owner
	calls map[partition.Token]chan partition.Reply // submissions and cancels that wait
	ended func()                                   // called once when the tenure ends
}

func newControl(settings config.Settings, recorder event.Recorder) *control {
	return &control{settings: settings, recorder: recorder, tenures: map[model.PartitionID]*tenure{}}
}

// tick lets time pass in every partition.
func (c *control) tick(now time.Time) {
	for _, t := range c.tenures {
		t.owner.Tick(now)
		c.drain(t)
	}
	c.publish(c.digests())
}

// drain carries out what the partition's owner asks for.
func (c *control) drain(t *tenure) {
	for _, command := range t.owner.Commands() {
		switch command := command.(type) {
		case partition.Notice:
			command.Record(c.recorder)
		case partition.Reply:
			t.reply(command)
		default:
			c.execute(t, command)
		}
	}
	if t.owner.EpochEnded() {
		c.drop(t)
	}
}

func (t *tenure) reply(r partition.Reply) {
	if waiting, ok := t.calls[r.Token]; ok {
		delete(t.calls, r.Token)
		waiting <- r
	}
}

// drop forgets a partition that this VM no longer owns. Callers whose records are
// on their way to the log are answered when that write returns; it always does.
func (c *control) drop(t *tenure) {
	if c.tenures[t.info.ID] != t {
		return
	}
	delete(c.tenures, t.info.ID)
	t.log.Close()
	t.ended()
}

// host starts to decide for a partition that was taken over.
func (c *control) host(now time.Time, info partition.Info, log *partition.Log, replay partition.Replay, ended func()) error {
	options := partition.DefaultOwnerOptions(info.ID, log.Epoch(), log.Lead())
	options.PollInterval = c.settings.WorkerInterval
	options.DriftMargin = c.settings.DriftMargin
	options.HandoverAfter = handOverAfter
	seed := uint64(now.UnixNano())
	decider := schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(seed, uint64(log.Epoch()))))
	owner, err := partition.NewOwner(options, replay, log.Horizon(), decider, now)
	if err != nil {
		return err
	}
	t := &tenure{info: info, log: log, owner: owner, calls: map[partition.Token]chan partition.Reply{}, ended: ended}
	c.tenures[info.ID] = t
	owner.SetBranches(now, c.branches)
	owner.WorkersListed(now, c.workersOf(info.ID))
	c.drain(t)
	return nil
}

// workersOf returns the listed workers of a partition.
func (c *control) workersOf(id model.PartitionID) []platform.VM {
	var own []platform.VM
	for _, vm := range c.vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		if home, ok := c.layout.WorkerPartition(vm); ok && home == id {
			own = append(own, vm)
		}
	}
	return own
}

// digests sums the partitions up for the heartbeats.
func (c *control) digests() map[model.PartitionID]membership.PartitionSummary {
	digests := make(map[model.PartitionID]membership.PartitionSummary, len(c.tenures))
	for id, t := range c.tenures {
		digests[id] = t.owner.Summary()
	}
	return digests
}

// listChanged brings the platform's list.
type listChanged struct {
	vms    []platform.VM
	layout partition.Layout
}

func (m listChanged) apply(c *control, now time.Time) {
	c.vms, c.layout = m.vms, m.layout
	for id, t := range c.tenures {
		t.owner.WorkersListed(now, c.workersOf(id))
		c.drain(t)
	}
}

// configurationChanged brings the branches in force.
type configurationChanged struct {
	branches []model.Branch
}

func (m configurationChanged) apply(c *control, now time.Time) {
	c.branches = m.branches
	for _, t := range c.tenures {
		t.owner.SetBranches(now, m.branches)
		c.drain(t)
	}
}

// ownerInput brings a result to a partition's owner. An owner whose tenure has
// ended only answers the callers that still wait.
type ownerInput struct {
	tenure *tenure
	input  func(o *partition.Owner, now time.Time)
}

func (m ownerInput) apply(c *control, now time.Time) {
	m.input(m.tenure.owner, now)
	c.drain(m.tenure)
}
