package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// backlog is a full cluster with waiting submissions of 260 accounts, of 20 tasks each, for which the
// queue needs no advice.
type backlog struct {
	*harness
	running []StartCommand
	ended   int
}

func newBacklog(t *testing.T, workers, submissions int) *backlog {
	t.Helper()
	const accounts = 260
	h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: map[model.WorkerID]int64{}}
	h.d = New(h.now, testOptions(), event.Discard{})
	configuration := testConfiguration()
	configuration.Accounts = fleet.NewAccounts()
	for i := range accounts {
		configuration.Accounts.Add(fleet.Account{Name: fmt.Sprint("account", i), Weight: 1})
	}
	h.d.SetConfiguration(configuration)
	h.listWorkers(workers)
	h.commitAll()
	h.decide()
	for _, renewal := range h.renewals {
		h.report(renewal.To.ID)
	}
	h.submit("quick", "full", tasks(workers, 32))
	h.decide()
	b := &backlog{harness: h, running: h.starts}
	h.acceptStarts(b.running)
	for i := range submissions {
		h.d.AddJob(h.now, &fleet.Submission{ID: fleet.JobID(fmt.Sprintf("%05d", i)), Queue: "rebuild", Service: "pool", Account: fmt.Sprint("account", i%accounts),
			Steps: []fleet.Step{{Tasks: 20, Demand: cores(20), Estimate: time.Hour}}}, testFence+1, 0, nil)
	}
	return b
}

// pass ends one of the runs and makes a placement pass.
func (b *backlog) pass() {
	b.advance(100 * time.Millisecond)
	r := b.d.runs[b.running[b.ended].Start.RunID]
	b.ended++
	b.d.endRun(r)
	r.task.state = taskDone
	r.task.step.waiting--
	b.d.placeWaiting(b.now)
}

// examinedPerPass returns the number of workers examined in a pass, the first one included.
func (b *backlog) examinedPerPass(passes int) float64 {
	for range passes {
		b.pass()
	}
	return float64(b.d.DecisionLoad().Examined) / float64(passes)
}

// Load: 100,000 tasks wait on a full cluster, and one task ends at a time. Guards against a pass whose cost
// is the product of waiting steps and workers: at 3,700 workers it took 2.2 s, longer than the owner's lease.
func TestCostOfAPassDoesNotGrowWithTheBacklog(t *testing.T) {
	const growth = 1.5 // goal of docs/design/placement-measured.md
	small, large := newBacklog(t, 370, 260).examinedPerPass(20), newBacklog(t, 370, 5000).examinedPerPass(20)
	t.Logf("workers examined in a pass: %.0f with 5,200 waiting tasks, %.0f with 100,000", small, large)
	if large > growth*small {
		t.Fatalf("%.0f workers are examined in a pass with 100,000 waiting tasks, and %.0f with 5,200", large, small)
	}
}

// Guards against a short step that is taken for one without room because a longer one, which would delay
// a waiting gang, found none.
func TestShortStepIsBackfilledBehindLongerOneOfTheSameDemand(t *testing.T) {
	h := newHarness(t, 1)
	running := tasks(1, 20)
	running.Estimate = 5 * time.Second
	h.submit("quick", "running", running)
	h.decide()
	h.acceptStarts(h.starts)
	gang := tasks(1, 32)
	gang.Gang = true
	h.submit("quick", "gang", gang)
	long, short := tasks(1, 8), tasks(1, 8)
	long.Estimate = time.Hour
	h.submit("quick", "a-long", long)
	h.submit("rebuild", "b-short", short)
	h.advance(time.Second)
	h.decide()
	if len(h.starts) != 1 || h.starts[0].Start.Task.Job != "b-short" {
		t.Fatalf("starts %+v, want the short step, which ends before the gang can start", h.starts)
	}
}

func BenchmarkPassWithBacklog(b *testing.B) {
	cluster := newBacklog(&testing.T{}, 3700, 5000)
	cluster.pass()
	for b.Loop() {
		cluster.pass()
	}
}
