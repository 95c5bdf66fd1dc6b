package partition

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/proptest"
	"filbertcross/internal/schedule"
)

const firstHandoverToken Token = 1 << 32 // first token of received handovers

// partitionPair is two partitions, p and q, that hand jobs over to each other. A handover
// may reach any VM that believes it owns the target, and may arrive late or repeatedly.
type partitionPair struct {
	clusters    [2]*testCluster
	tokens      Token
	answers     map[Token]*handoverAnswer
	sent        []sentHandover
	workersLost bool // p has lost its workers
}

type handoverAnswer struct {
	reply    Reply
	received bool
}

type sentHandover struct {
	to  *testCluster
	job HandedOverJob
}

func newPartitionPair() *partitionPair {
	p := &partitionPair{tokens: firstHandoverToken, answers: map[Token]*handoverAnswer{}}
	for i, id := range []model.PartitionID{"p", "q"} {
		tc := newTestCluster(2)
		tc.partition, tc.handoverAfter = id, 2*time.Second
		tc.runOnOtherPartition, tc.takeHandoverReply = p.execute, p.takeReply
		p.clusters[i] = tc
	}
	a, b := p.clusters[0], p.clusters[1]
	b.jobs, b.acknowledged, b.canceled, b.startedAttempts = a.jobs, a.acknowledged, a.canceled, a.startedAttempts
	for _, worker := range b.workers {
		worker.id, worker.capacity.MilliCPU = "q"+worker.id, 3
	}
	for i, tc := range p.clusters {
		tc.takeOver()
		tc.runRounds(panicFailer{}, 0, 2, time.Second, "")
		p.syncTime(i)
	}
	return p
}

// panicFailer is a failer for steps outside a property.
type panicFailer struct{}

func (panicFailer) Fatalf(format string, _ ...any) { panic(format) }

// execute executes a command for the other partition.
func (p *partitionPair) execute(vm *testVM, o *operation) {
	from, to := p.clusters[0], p.clusters[1]
	if vm.log.opts.Partition == to.partition {
		from, to = to, from
	}
	owner := vm.owner
	switch c := o.command.(type) {
	case FindHandoverTarget:
		found := to.partition
		if slices.Contains(c.Exclude, found) || (p.workersLost && found == "p") || o.lose {
			found = ""
		}
		o.deliver = func(now time.Time) { owner.HandoverTargetFound(now, c.Job, found) }
	case QueryJobEnded:
		s, known := to.vms[len(to.vms)-1].owner.JobStatus(c.Job)
		o.deliver = func(now time.Time) {
			if known && s.Ended {
				owner.HandedOverJobEnded(now, c.Job)
			}
		}
	case HandOverJob:
		if j := owner.state.jobs[c.Job.ID]; j != nil && j.HandoverTries < c.Job.Try {
			to.violation = "handover sent before its start was durable"
		}
		p.sent = append(p.sent, sentHandover{to, c.Job})
		answer := p.receiveHandover(to, to.vms[len(to.vms)-1], c.Job)
		lost := o.lose
		o.deliver = func(now time.Time) {
			if !answer.received || lost {
				owner.HandoverReturned(now, c, answer.reply.Status, errTimeout)
				return
			}
			owner.HandoverReturned(now, c, answer.reply.Status, answer.reply.Err)
		}
	}
}

func (p *partitionPair) receiveHandover(to *testCluster, vm *testVM, job HandedOverJob) *handoverAnswer {
	p.tokens++
	answer := &handoverAnswer{}
	p.answers[p.tokens] = answer
	vm.owner.ReceiveHandover(to.now, p.tokens, job)
	to.collectCommands(vm)
	return answer
}

func (p *partitionPair) takeReply(r Reply) bool {
	a := p.answers[r.Token]
	if a != nil {
		a.reply, a.received = r, true
	}
	return a != nil
}

// syncTime advances the other partition's clocks to this partition's time.
func (p *partitionPair) syncTime(side int) {
	tc, other := p.clusters[side], p.clusters[1-side]
	other.advanceTime(tc.now.Sub(other.now))
}

// checkInvariants checks each partition, and that no task runs on two workers of the pair.
func (p *partitionPair) checkInvariants(t failer) {
	places := map[model.TaskID]model.WorkerID{}
	for _, tc := range p.clusters {
		tc.checkInvariants(t)
		for _, worker := range tc.workers {
			for ref, task := range worker.tasks {
				if !worker.up || task.state != platform.TaskRunning {
					continue
				}
				if other, twice := places[ref.Task]; twice {
					t.Fatalf("task %s runs on %s and %s", ref.Task, other, worker.id)
				}
				places[ref.Task] = worker.id
			}
		}
	}
}

// removeWorkers removes all workers of p, as the loss of its failure domain does.
func (p *partitionPair) removeWorkers() {
	p.workersLost = true
	for i, worker := range p.clusters[0].workers {
		worker.up, p.clusters[0].listed[i] = false, false
	}
}

// runBoth runs the newest owners of both partitions; running tasks finish.
func (p *partitionPair) runBoth(t failer, rounds int) {
	for range rounds {
		for i, tc := range p.clusters {
			for _, worker := range tc.workers {
				for _, task := range worker.tasks {
					if task.state == platform.TaskRunning {
						task.state = platform.TaskDone
					}
				}
			}
			tc.runRounds(t, len(tc.vms)-1, 1, 500*time.Millisecond, "")
			p.syncTime(i)
			p.checkInvariants(t)
		}
	}
}

// recoverAndFinish removes all faults. Then every acknowledged job must end, except jobs
// that returned to, or stayed in, a partition without workers after a handover.
func (p *partitionPair) recoverAndFinish(t failer) {
	for _, tc := range p.clusters {
		tc.store.faultPlan, tc.store.down, tc.requestsLost, tc.answersLost = nil, false, map[[2]int]bool{}, map[[2]int]bool{}
		tc.store.applyDelayedWrites()
		tc.takeOver()
		for i, worker := range tc.workers {
			if !worker.up && tc.listed[i] {
				worker.restart()
			}
		}
	}
	p.runBoth(t, 200)
	for id := range p.clusters[0].acknowledged {
		p.checkEnded(t, id)
	}
}

func (p *partitionPair) checkEnded(t failer, id model.JobID) {
	home, _ := JobPartition(id)
	s, found := p.newestOwner(home).JobStatus(id)
	if found && s.HandedTo != "" {
		home = s.HandedTo
		s, found = p.newestOwner(home).JobStatus(id)
	}
	stranded := p.workersLost && home == "p" && found && len(p.newestOwner("p").state.jobs[id].Path) > 0
	if !found || !s.Ended && !stranded {
		t.Fatalf("job %s at %s has not ended (known: %v): %+v", id, home, found, s)
	}
}

func (p *partitionPair) newestOwner(id model.PartitionID) *Owner {
	tc := p.clusters[0]
	if id == "q" {
		tc = p.clusters[1]
	}
	return tc.vms[len(tc.vms)-1].owner
}

// pairActions are the actions of the state machine for two partitions. As in faultActions,
// the names of the actions must not change.
type pairActions struct{ *partitionPair }

// runFaultAction performs an action of faultActions on one of the partitions.
func (p pairActions) runFaultAction(t *rapid.T, step func(faultActions, *rapid.T)) {
	side := rapid.IntRange(0, 1).Draw(t, "side")
	step(faultActions{p.clusters[side]}, t)
	p.syncTime(side)
}

func (p pairActions) Brisk(t *rapid.T)    { p.runFaultAction(t, faultActions.Brisk) }
func (p pairActions) Ops(t *rapid.T)      { p.runFaultAction(t, faultActions.Ops) }
func (p pairActions) TakeOver(t *rapid.T) { p.runFaultAction(t, faultActions.TakeOver) }
func (p pairActions) Faults(t *rapid.T)   { p.runFaultAction(t, faultActions.Faults) }
func (p pairActions) Outage(t *rapid.T)   { p.runFaultAction(t, faultActions.Outage) }
func (p pairActions) Land(t *rapid.T)     { p.runFaultAction(t, faultActions.Land) }
func (p pairActions) Finish(t *rapid.T)   { p.runFaultAction(t, faultActions.Finish) }
func (p pairActions) Kill(t *rapid.T)     { p.runFaultAction(t, faultActions.Kill) }
func (p pairActions) Cut(t *rapid.T)      { p.runFaultAction(t, faultActions.Cut) }
func (p pairActions) CutStore(t *rapid.T) { p.runFaultAction(t, faultActions.CutStore) }
func (p pairActions) Preempt(t *rapid.T)  { p.runFaultAction(t, faultActions.Preempt) }
func (p pairActions) Check(t *rapid.T)    { p.checkInvariants(t) }

func (p pairActions) Restart(t *rapid.T) { p.runFaultAction(t, faultActions.Restart) }

func (p pairActions) Work(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		for i, tc := range p.clusters {
			tc.runRounds(t, len(tc.vms)-1, 1, time.Second, "")
			p.syncTime(i)
			p.checkInvariants(t)
		}
	}
}

func (p pairActions) Submit(t *rapid.T) {
	tc := p.clusters[rapid.IntRange(0, 1).Draw(t, "side")]
	tc.taskSize = rapid.Int64Range(1, 3).Draw(t, "size")
	faultActions{tc}.Submit(t)
}

// Cancel requests the cancellation from any VM that may know the job.
func (p pairActions) Cancel(t *rapid.T) {
	if len(p.clusters[0].jobs) == 0 {
		return
	}
	tc := p.clusters[rapid.IntRange(0, 1).Draw(t, "side")]
	id := rapid.SampledFrom(sortedIDs(tc.jobs)).Draw(t, "job")
	tc.cancel(tc.vms[faultActions{tc}.drawVM(t)], id)
}

// Repeat delivers an earlier handover again, at any VM and time.
func (p pairActions) Repeat(t *rapid.T) {
	if len(p.sent) == 0 {
		return
	}
	s := p.sent[rapid.IntRange(0, len(p.sent)-1).Draw(t, "hand-in")]
	p.receiveHandover(s.to, s.to.vms[faultActions{s.to}.drawVM(t)], s.job)
}

// Vanish removes the workers of p, until Return or for the rest of the run.
func (p pairActions) Vanish(*rapid.T) { p.removeWorkers() }

func (p pairActions) Return(*rapid.T) {
	p.workersLost = false
	for i, worker := range p.clusters[0].workers {
		if !p.clusters[0].listed[i] {
			p.clusters[0].listed[i] = true
			worker.restart()
		}
	}
}

func sortedIDs(jobs map[model.JobID]model.Job) []model.JobID {
	var ids []model.JobID
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func TestHandoverInvariantsUnderFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for range 5 {
			p := newPartitionPair()
			actions := rapid.StateMachineActions(pairActions{p})
			check := actions[""]
			actions["work2"], actions["work3"] = actions["Work"], actions["Work"]
			actions["work4"], actions["submit2"] = actions["Work"], actions["Submit"]
			actions["brisk2"], actions["ops2"] = actions["Brisk"], actions["Ops"]
			for name, action := range actions {
				actions[name] = func(t *rapid.T) { proptest.CountStep(); action(t) }
			}
			actions[""] = check
			p.clusters[0].submit(p.clusters[0].vms[0], 3, true)
			t.Repeat(actions)
			p.recoverAndFinish(t)
		}
	})
}

func TestJobOfLostFailureDomainFinishesInOtherPartition(t *testing.T) {
	p := newPartitionPair()
	home := p.clusters[0]
	home.submit(home.vms[0], 3, true)
	home.runRounds(t, 0, 3, time.Second, "")
	p.syncTime(0)
	if home.workers[0].runningTasks()+home.workers[1].runningTasks() != 3 {
		t.Fatal("the job does not run in its home partition")
	}
	p.removeWorkers()
	p.runBoth(t, 40)
	s, _ := p.newestOwner("q").JobStatus("p~1")
	if !s.Ended || s.Canceled {
		t.Fatalf("job has not finished at the target: %+v", s)
	}
	for range 9 { // until the home partition learns of the end and removes the job
		home.advanceTime(10 * time.Minute)
		p.syncTime(0)
		p.runBoth(t, 4)
	}
	if len(home.vms[0].owner.state.jobs) != 0 {
		t.Fatal("home partition retains a job that ended elsewhere")
	}
}

// A target that can never run the job rejects it permanently, and the source keeps it.
func TestRejectedHandoverReturnsJobToSource(t *testing.T) {
	p := newPartitionPair()
	home := p.clusters[1]
	home.taskSize = 3
	for range 3 {
		home.submit(home.vms[0], 1, true)
	}
	for range 20 {
		for i, tc := range p.clusters {
			tc.runRounds(t, 0, 1, 500*time.Millisecond, "")
			p.syncTime(i)
		}
	}
	id := model.JobID("q~3")
	if j := home.vms[0].owner.state.jobs[id]; j.HandoverTries == 0 || j.HandedTo != "" {
		t.Fatalf("job was not rejected and returned: %+v", j)
	}
	for _, worker := range p.clusters[0].workers {
		worker.capacity.MilliCPU = 3
	}
	p.clusters[0].runRounds(t, 0, 3, time.Second, "")
	p.syncTime(0)
	for _, s := range p.sent {
		p.receiveHandover(s.to, s.to.vms[0], s.job)
	}
	p.clusters[0].runRounds(t, 0, 3, time.Second, "")
	p.syncTime(0)
	if len(p.clusters[0].vms[0].owner.attempts) > 0 {
		t.Fatal("repeated handover was accepted after its rejection")
	}
	p.runBoth(t, 20)
	p.checkEnded(t, id)
}

// An answer to an earlier try must not affect the current one.
func TestLateRejectionOfEarlierTryIsIgnored(t *testing.T) {
	p := newPartitionPair()
	home := p.clusters[0]
	home.submit(home.vms[0], 3, true)
	p.removeWorkers()
	home.runRounds(t, 0, 4, time.Second, "HandOverJob")
	owner := home.vms[0].owner
	d := owner.outgoing["p~1"]
	if d == nil || !d.durable {
		t.Fatal("handover has not started")
	}
	late := HandOverJob{To: "q", Job: HandedOverJob{ID: "p~1", Try: d.try - 1}}
	owner.HandoverReturned(home.now, late, schedule.Status{Code: schedule.NeverFits}, nil)
	if d.answered {
		t.Fatal("late answer was accepted")
	}
}

// BenchmarkFindHandoverTargets measures one search for jobs to hand over among 10,000.
func BenchmarkFindHandoverTargets(b *testing.B) {
	p := newPartitionPair()
	home := p.clusters[0]
	p.removeWorkers()
	for range 10000 {
		home.submit(home.vms[0], 1, true)
	}
	home.runRounds(panicFailer{}, 0, 1, time.Millisecond, "FindHandoverTarget")
	owner := home.vms[0].owner
	for b.Loop() {
		owner.now = owner.now.Add(targetSearchInterval)
		owner.findHandoverTargets()
		owner.commands = nil
	}
}
