package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// absence finds how long tasks that last have nothing running while their only worker is up. As on the platform, that
// counts from 6 s after their last run and from the start of the worker.
type absence struct {
	f       *crashFleet
	on      model.WorkerID
	tasks   []fleet.TaskID
	lastRun map[fleet.TaskID]time.Duration
	longest time.Duration
	worst   fleet.TaskID
}

const (
	absenceGrace = 6 * time.Second
	maxAbsence   = 3 * time.Second
)

func (a *absence) observe() bool {
	running := map[fleet.TaskID]bool{}
	for r := range a.f.runs[a.on] {
		running[r.Task] = true
	}
	for _, id := range a.tasks {
		if running[id] || a.f.state(id.Job).Final() {
			a.lastRun[id] = a.f.now
		}
		if a.f.now < a.f.downUntil[a.on] || a.f.now < a.f.silentUntil[a.on] {
			continue
		}
		if away := a.f.now - max(a.lastRun[id]+absenceGrace, a.f.downUntil[a.on]); away > a.longest {
			a.longest, a.worst = away, id
		}
	}
	return false
}

// newBoundFleet returns a fleet on whose only worker with the label "b" the given number of lasting tasks have just begun.
func newBoundFleet(t *testing.T, n int, crashing ...fleet.TaskID) (*crashFleet, *absence) {
	t.Helper()
	f := newCrashFleet(t, 8, crashing...)
	f.relist = func() {
		f.listWorkers(8, func(i int, e *fleet.WorkerEntry) {
			e.Incarnation = f.incarnation[e.ID]
			if i == 0 {
				e.Labels = []string{"b", "r0"}
			}
		})
	}
	f.relist()
	a := &absence{f: f, on: workerID(0), lastRun: map[fleet.TaskID]time.Duration{}}
	s := only(lasting(tasks(n, 1)))
	s.Demand.MilliCPU, s.Demand.MemoryMiB = 100, 64
	f.addBoundJob("lasts", s)
	for i := range n {
		a.tasks = append(a.tasks, taskID("lasts", i))
	}
	f.pass(250*time.Millisecond, func() bool { return false })
	if len(f.runs[a.on]) != n {
		t.Fatalf("%d of %d tasks run before the crash", len(f.runs[a.on]), n)
	}
	a.observe()
	return f, a
}

// addBoundJob adds a submission that a later owner restores, too.
func (f *crashFleet) addBoundJob(id fleet.JobID, s fleet.Step) {
	sub := &fleet.Submission{ID: id, Queue: "quick", Service: "pool", Steps: []fleet.Step{s}}
	f.subs = append(f.subs, sub)
	f.d.AddJob(f.now, sub, testFence+1, 0, nil)
}

// Tasks that one worker only may run waited for each other after a crash of it, 1.8 s each (review/9, LOST): all of them had just
// begun, so all are suspected, and each is watched without others beside it.
func TestSuspectsOfOneWorkerStartInTime(t *testing.T) {
	for _, n := range []int{20, 60, 200} {
		for name, trouble := range map[string]func(f *crashFleet, a *absence){
			"one crash":  func(*crashFleet, *absence) {},
			"short down": func(f *crashFleet, a *absence) { f.downUntil[a.on] = f.now + time.Second },
			"two crashes": func(f *crashFleet, a *absence) {
				f.pass(restartTime+time.Second, a.observe)
				f.crash(a.on)
			},
			"two crashes, far apart": func(f *crashFleet, a *absence) {
				f.pass(restartTime+9*time.Second, a.observe)
				f.crash(a.on)
			},
			"owner lost while the worker is down": func(f *crashFleet, a *absence) {
				f.pass(restartTime-time.Second, a.observe)
				f.restart(f.stored, f.recorded, f.subs...)
			},
			"owner lost once the worker is back": func(f *crashFleet, a *absence) {
				f.pass(restartTime+500*time.Millisecond, a.observe)
				f.restart(f.stored, f.recorded, f.subs...)
			},
			"connections closed": func(f *crashFleet, a *absence) {
				f.pass(restartTime+2*time.Second, a.observe)
				f.d.HandleRenewFailure(f.now, a.on, errNoResponse)
			},
		} {
			f, a := newBoundFleet(t, n)
			f.crash(a.on)
			trouble(f, a)
			f.pass(15*time.Second, a.observe)
			if a.longest > maxAbsence {
				t.Errorf("%d tasks, %s: %v had nothing running for %v beyond the first %v, want at most %v", n, name, a.worst, a.longest, absenceGrace, maxAbsence)
			}
			if f.state("lasts").Final() {
				t.Errorf("%d tasks, %s: the submission is %v", n, name, f.state("lasts"))
			}
		}
	}
}

// One of the tasks that only one worker may run crashes it. It is given up before it has been started three times more after
// three crashes, and the others are neither given up nor kept waiting.
func TestCrashingTaskIsFoundAmongSuspectsOfOneWorker(t *testing.T) {
	for _, n := range []int{20, 60, 200} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
			deadly := taskID("deadly", 0)
			f, a := newBoundFleet(t, n, deadly)
			f.crashDelay = delay
			s := only(lasting(tasks(1, 1)))
			f.crash(a.on) // all are suspected, and start together with it
			f.addBoundJob("deadly", s)
			f.pass(40*time.Second, a.observe)
			if f.state("deadly") != fleet.StateFailed || f.crashes[deadly] > 3+2 {
				t.Errorf("%d tasks, crash after %v: the submission is %v after %d crashes, want it failed after 5 at the most", n, delay, f.state("deadly"), f.crashes[deadly])
			}
			if f.state("lasts").Final() {
				t.Errorf("%d tasks, crash after %v: the submission beside it is %v, %q", n, delay, f.state("lasts"), f.d.Status("lasts").Cause)
			}
			if a.longest > maxAbsence {
				t.Errorf("%d tasks, crash after %v: %v had nothing running for %v beyond the first %v", n, delay, a.worst, a.longest, absenceGrace)
			}
		}
	}
}

// The task that crashes its workers is one of those of the submission, and was started with them.
func TestCrashingTaskIsFoundInItsSubmission(t *testing.T) {
	for _, n := range []int{20, 60, 200} {
		for _, index := range []int{0, n / 2, n - 1} {
			deadly := taskID("lasts", index)
			f, a := newBoundFleet(t, n)
			f.crash(a.on)
			f.crashes[deadly]++
			f.crashing[deadly] = true
			f.pass(60*time.Second, func() bool { return f.state("lasts").Final() })
			if f.state("lasts") != fleet.StateFailed || f.crashes[deadly] > 3+2 {
				t.Errorf("task %d of %d: the submission is %v after %d crashes, want it failed after 5 at the most", index, n, f.state("lasts"), f.crashes[deadly])
			}
			if want := fmt.Sprintf("task %v crashed", deadly); f.crashes[deadly] < maxCrashes && len(f.d.Status("lasts").Cause) < len(want) {
				t.Errorf("task %d of %d: the cause is %q", index, n, f.d.Status("lasts").Cause)
			}
		}
	}
}

// Other work that only this worker may run begins while suspected tasks are watched there.
func TestOtherWorkBeginsBesideSuspectsOfOneWorker(t *testing.T) {
	f, a := newBoundFleet(t, 60)
	f.crash(a.on)
	f.pass(restartTime+time.Second, func() bool { return false })
	f.crash(a.on) // now each is watched for crashWindow
	f.pass(restartTime, func() bool { return false })
	f.submit("rebuild", "late", only(tasks(1, 1)))
	began := f.now
	f.pass(30*time.Second, func() bool { return f.starts[taskID("late", 0)] > 0 })
	if took := f.now - began; took > absenceGrace+maxAbsence {
		t.Errorf("a submission begins %v after the worker is back, want at most %v", took, absenceGrace+maxAbsence)
	}
}
