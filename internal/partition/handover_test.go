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

const firstHandIn Token = 1 << 32 // of the tokens of hand-ins

// pair is two partitions, p and q, that hand jobs to each other. Hand-ins reach any
// VM that believes to own the target, late or repeated ones too.
type pair struct {
	sides   [2]*testCluster
	tokens  Token
	answers map[Token]*handInAnswer
	sent    []sentHandIn
	gone    bool // p has lost its workers
}

type handInAnswer struct {
	reply Reply
	given bool
}

type sentHandIn struct {
	to  *testCluster
	job HandedOverJob
}

func newPair() *pair {
	p := &pair{tokens: firstHandIn, answers: map[Token]*handInAnswer{}}
	for i, id := range []model.PartitionID{"p", "q"} {
		w := newTestCluster(2)
		w.partition, w.handOver = id, 2*time.Second
		w.other, w.answered = p.carry, p.answer
		p.sides[i] = w
	}
	a, b := p.sides[0], p.sides[1]
	b.jobs, b.acked, b.canceled, b.begun = a.jobs, a.acked, a.canceled, a.begun
	for _, k := range b.workers {
		k.id, k.capacity.MilliCPU = "q"+k.id, 3
	}
	for i, w := range p.sides {
		w.takeOver()
		w.brisk(panics{}, 0, 2, time.Second, "")
		p.sync(i)
	}
	return p
}

// panics is a fataler for steps outside a property.
type panics struct{}

func (panics) Fatalf(format string, _ ...any) { panic(format) }

// carry has the effect of a command that goes to the other partition.
func (p *pair) carry(vm *testVM, o *op) {
	from, to := p.sides[0], p.sides[1]
	if vm.log.opts.Partition == to.partition {
		from, to = to, from
	}
	owner := vm.owner
	switch c := o.command.(type) {
	case FindHandoverTarget:
		found := to.partition
		if slices.Contains(c.Exclude, found) || (p.gone && found == "p") || o.lose {
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
			to.broken = "a hand-in before its hand-out was durable"
		}
		p.sent = append(p.sent, sentHandIn{to, c.Job})
		answer := p.handIn(to, to.vms[len(to.vms)-1], c.Job)
		lost := o.lose
		o.deliver = func(now time.Time) {
			if !answer.given || lost {
				owner.HandoverReturned(now, c, answer.reply.Status, errTimeout)
				return
			}
			owner.HandoverReturned(now, c, answer.reply.Status, answer.reply.Err)
		}
	}
}

func (p *pair) handIn(to *testCluster, vm *testVM, job HandedOverJob) *handInAnswer {
	p.tokens++
	answer := &handInAnswer{}
	p.answers[p.tokens] = answer
	vm.owner.ReceiveHandover(to.now, p.tokens, job)
	to.drain(vm)
	return answer
}

func (p *pair) answer(r Reply) bool {
	a := p.answers[r.Token]
	if a != nil {
		a.reply, a.given = r, true
	}
	return a != nil
}

// sync lets the other partition's time catch up.
func (p *pair) sync(side int) {
	w, other := p.sides[side], p.sides[1-side]
	other.pass(w.now.Sub(other.now))
}

// check is the oracle over both partitions.
func (p *pair) check(t fataler) {
	places := map[model.TaskID]model.WorkerID{}
	for _, w := range p.sides {
		w.check(t)
		for _, k := range w.workers {
			for ref, task := range k.tasks {
				if !k.up || task.state != platform.TaskRunning {
					continue
				}
				if other, twice := places[ref.Task]; twice {
					t.Fatalf("task %s runs on %s and %s", ref.Task, other, k.id)
				}
				places[ref.Task] = k.id
			}
		}
	}
}

// vanish takes all workers of p, as the loss of its failure domain does.
func (p *pair) vanish() {
	p.gone = true
	for i, k := range p.sides[0].workers {
		k.up, p.sides[0].listed[i] = false, false
	}
}

// work lets the newest owners of both partitions work; running tasks finish.
func (p *pair) work(t fataler, rounds int) {
	for range rounds {
		for i, w := range p.sides {
			for _, k := range w.workers {
				for _, task := range k.tasks {
					if task.state == platform.TaskRunning {
						task.state = platform.TaskDone
					}
				}
			}
			w.brisk(t, len(w.vms)-1, 1, 500*time.Millisecond, "")
			p.sync(i)
			p.check(t)
		}
	}
}

// settle heals everything; then every acknowledged job ends, but for one that came
// back to, or was left in, a partition without workers by way of the other one.
func (p *pair) settle(t fataler) {
	for _, w := range p.sides {
		w.store.plan, w.store.down, w.cut, w.deaf = nil, false, map[[2]int]bool{}, map[[2]int]bool{}
		w.store.land()
		w.takeOver()
		for i, k := range w.workers {
			if !k.up && w.listed[i] {
				k.restart()
			}
		}
	}
	p.work(t, 200)
	for id := range p.sides[0].acked {
		p.checkEnded(t, id)
	}
}

func (p *pair) checkEnded(t fataler, id model.JobID) {
	home, _ := JobPartition(id)
	s, found := p.newest(home).JobStatus(id)
	if found && s.HandedTo != "" {
		home = s.HandedTo
		s, found = p.newest(home).JobStatus(id)
	}
	stranded := p.gone && home == "p" && found && len(p.newest("p").state.jobs[id].Path) > 0
	if !found || !s.Ended && !stranded {
		t.Fatalf("job %s at %s has not ended (known: %v): %+v", id, home, found, s)
	}
}

func (p *pair) newest(id model.PartitionID) *Owner {
	w := p.sides[0]
	if id == "q" {
		w = p.sides[1]
	}
	return w.vms[len(w.vms)-1].owner
}

// pairActions are the steps of the state machine.
type pairActions struct{ *pair }

// fault does one of the steps of the machine of one partition.
func (p pairActions) fault(t *rapid.T, step func(faultActions, *rapid.T)) {
	side := rapid.IntRange(0, 1).Draw(t, "side")
	step(faultActions{p.sides[side]}, t)
	p.sync(side)
}

func (p pairActions) Brisk(t *rapid.T)    { p.fault(t, faultActions.Brisk) }
func (p pairActions) Ops(t *rapid.T)      { p.fault(t, faultActions.Ops) }
func (p pairActions) TakeOver(t *rapid.T) { p.fault(t, faultActions.TakeOver) }
func (p pairActions) Faults(t *rapid.T)   { p.fault(t, faultActions.Faults) }
func (p pairActions) Outage(t *rapid.T)   { p.fault(t, faultActions.Outage) }
func (p pairActions) Land(t *rapid.T)     { p.fault(t, faultActions.Land) }
func (p pairActions) Finish(t *rapid.T)   { p.fault(t, faultActions.Finish) }
func (p pairActions) Kill(t *rapid.T)     { p.fault(t, faultActions.Kill) }
func (p pairActions) Cut(t *rapid.T)      { p.fault(t, faultActions.Cut) }
func (p pairActions) CutStore(t *rapid.T) { p.fault(t, faultActions.CutStore) }
func (p pairActions) Preempt(t *rapid.T)  { p.fault(t, faultActions.Preempt) }
func (p pairActions) Check(t *rapid.T)    { p.check(t) }

func (p pairActions) Restart(t *rapid.T) { p.fault(t, faultActions.Restart) }

func (p pairActions) Work(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		for i, w := range p.sides {
			w.brisk(t, len(w.vms)-1, 1, time.Second, "")
			p.sync(i)
			p.check(t)
		}
	}
}

func (p pairActions) Submit(t *rapid.T) {
	w := p.sides[rapid.IntRange(0, 1).Draw(t, "side")]
	w.size = rapid.Int64Range(1, 3).Draw(t, "size")
	faultActions{w}.Submit(t)
}

// Cancel asks any VM that may know the job.
func (p pairActions) Cancel(t *rapid.T) {
	if len(p.sides[0].jobs) == 0 {
		return
	}
	w := p.sides[rapid.IntRange(0, 1).Draw(t, "side")]
	id := rapid.SampledFrom(sortedIDs(w.jobs)).Draw(t, "job")
	w.cancel(w.vms[faultActions{w}.anyVM(t)], id)
}

// Repeat has a hand-in arrive once more, at any VM and time.
func (p pairActions) Repeat(t *rapid.T) {
	if len(p.sent) == 0 {
		return
	}
	s := p.sent[rapid.IntRange(0, len(p.sent)-1).Draw(t, "hand-in")]
	p.handIn(s.to, s.to.vms[faultActions{s.to}.anyVM(t)], s.job)
}

// Vanish takes the workers of p for a while or for good.
func (p pairActions) Vanish(*rapid.T) { p.vanish() }

func (p pairActions) Return(*rapid.T) {
	p.gone = false
	for i, k := range p.sides[0].workers {
		if !p.sides[0].listed[i] {
			p.sides[0].listed[i] = true
			k.restart()
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

func TestHandOverUnderFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for range 5 {
			p := newPair()
			actions := rapid.StateMachineActions(pairActions{p})
			check := actions[""]
			actions["work2"], actions["work3"] = actions["Work"], actions["Work"]
			actions["work4"], actions["submit2"] = actions["Work"], actions["Submit"]
			actions["brisk2"], actions["ops2"] = actions["Brisk"], actions["Ops"]
			for name, action := range actions {
				actions[name] = func(t *rapid.T) { proptest.Step(); action(t) }
			}
			actions[""] = check
			p.sides[0].submit(p.sides[0].vms[0], 3, true)
			t.Repeat(actions)
			p.settle(t)
		}
	})
}

func TestJobOfLostFailureDomainFinishesElsewhere(t *testing.T) {
	p := newPair()
	home := p.sides[0]
	home.submit(home.vms[0], 3, true)
	home.brisk(t, 0, 3, time.Second, "")
	p.sync(0)
	if home.workers[0].running()+home.workers[1].running() != 3 {
		t.Fatal("the job does not run at home")
	}
	p.vanish()
	p.work(t, 40)
	s, _ := p.newest("q").JobStatus("p~1")
	if !s.Ended || s.Canceled {
		t.Fatalf("at the target: %+v", s)
	}
	for range 9 { // in which the home notices the end and drops the job
		home.pass(10 * time.Minute)
		p.sync(0)
		p.work(t, 4)
	}
	if len(home.vms[0].owner.state.jobs) != 0 {
		t.Fatal("the home keeps a job that ended elsewhere")
	}
}

// A target that can never run the job says so once and for all, and the home keeps it.
func TestRefusedJobComesBack(t *testing.T) {
	p := newPair()
	home := p.sides[1]
	home.size = 3
	for range 3 {
		home.submit(home.vms[0], 1, true)
	}
	for range 20 {
		for i, w := range p.sides {
			w.brisk(t, 0, 1, 500*time.Millisecond, "")
			p.sync(i)
		}
	}
	id := model.JobID("q~3")
	if j := home.vms[0].owner.state.jobs[id]; j.HandoverTries == 0 || j.HandedTo != "" {
		t.Fatalf("was not refused and taken back: %+v", j)
	}
	for _, k := range p.sides[0].workers {
		k.capacity.MilliCPU = 3
	}
	p.sides[0].brisk(t, 0, 3, time.Second, "")
	p.sync(0)
	for _, s := range p.sent {
		p.handIn(s.to, s.to.vms[0], s.job)
	}
	p.sides[0].brisk(t, 0, 3, time.Second, "")
	p.sync(0)
	if len(p.sides[0].vms[0].owner.attempts) > 0 {
		t.Fatal("a repeated hand-in was taken after its refusal")
	}
	p.work(t, 20)
	p.checkEnded(t, id)
}

// An answer to an earlier try says nothing about the present one.
func TestLateRefusalOfAnEarlierTryIsIgnored(t *testing.T) {
	p := newPair()
	home := p.sides[0]
	home.submit(home.vms[0], 3, true)
	p.vanish()
	home.brisk(t, 0, 4, time.Second, "HandOverJob")
	owner := home.vms[0].owner
	d := owner.outgoing["p~1"]
	if d == nil || !d.durable {
		t.Fatal("the job was not handed out")
	}
	late := HandOverJob{To: "q", Job: HandedOverJob{ID: "p~1", Try: d.try - 1}}
	owner.HandoverReturned(home.now, late, schedule.Status{Code: schedule.NeverFits}, nil)
	if d.answered {
		t.Fatal("the late answer was taken")
	}
}

// BenchmarkOfferWaiting is an owner's look for jobs to hand over among 10,000.
func BenchmarkOfferWaiting(b *testing.B) {
	p := newPair()
	home := p.sides[0]
	p.vanish()
	for range 10000 {
		home.submit(home.vms[0], 1, true)
	}
	home.brisk(panics{}, 0, 1, time.Millisecond, "FindHandoverTarget")
	owner := home.vms[0].owner
	for b.Loop() {
		owner.now = owner.now.Add(targetSearchInterval)
		owner.findHandoverTargets()
		owner.commands = nil
	}
}
