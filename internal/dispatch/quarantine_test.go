package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// only restricts a step to the workers with the label "b".
func only(s fleet.Step) fleet.Step {
	s.RequiredLabel = "b"
	return s
}

func lasting(s fleet.Step) fleet.Step {
	s.LongRunning, s.Estimate = true, 400*time.Millisecond
	return s
}

// newProbeFleet returns a fleet whose only worker with the label "b" has failed what it started and is probed from now on.
// before is called first.
func newProbeFleet(t *testing.T, before func(f *crashFleet)) *crashFleet {
	t.Helper()
	f := newCrashFleet(t, 4)
	f.listWorkers(4, func(i int, e *fleet.WorkerEntry) {
		if i == 0 {
			e.Labels = []string{"b", "r0"}
		}
	})
	before(f)
	f.failing[workerID(0)], f.failAfter = true, 50*time.Millisecond
	for _, id := range []fleet.JobID{"x", "y", "z"} {
		f.submit("quick", id, only(tasks(1, 4)))
	}
	if !f.pass(5*time.Second, func() bool { return f.d.workers[workerID(0)].probing }) {
		t.Fatal("the worker is not in quarantine")
	}
	f.failing[workerID(0)] = false
	for _, id := range []fleet.JobID{"x", "y", "z"} {
		f.d.Cancel(f.now, id, "")
	}
	return f
}

// A worker that has failed what it started stays closed as long as the run that probes it is there, which may be for good
// (review/8, LOST). Whatever probes it, a submission that needs the worker begins there once it is sound.
func TestProbedWorkerOpensWhateverProbesIt(t *testing.T) {
	// A quarantine, the precedence for others, a probe that shows nothing, and the report of it.
	const bound = quarantineTime + probeYieldTime + probeTime + 2*(RenewWait+CommandTimeout)
	never := func() bool { return false }
	for name, c := range map[string]struct {
		before func(f *crashFleet) // the failures
		probe  func(f *crashFleet) // in quarantine
	}{
		"no run":               {},
		"a run that is done":   {probe: func(f *crashFleet) { f.submit("quick", "p", only(tasks(1, 4))) }},
		"a lasting run":        {probe: func(f *crashFleet) { f.submit("quick", "p", only(lasting(tasks(1, 4)))) }},
		"several lasting runs": {probe: func(f *crashFleet) { f.submit("quick", "p", only(lasting(tasks(6, 4)))) }},
		"a lasting run from before": {before: func(f *crashFleet) {
			f.submit("quick", "p", only(lasting(tasks(1, 4))))
			f.pass(time.Second, never)
		}},
		"a filler": {probe: func(f *crashFleet) {
			s := lasting(tasks(1, 4))
			s.Filler = true
			f.submit("quick", "p", only(s))
		}},
		"a paused filler": {probe: func(f *crashFleet) {
			s := lasting(tasks(1, 4))
			s.Filler = true
			f.submit("quick", "p", only(s))
			f.pass(quarantineTime+100*time.Millisecond, never)
			for _, r := range f.d.runs {
				r.pace = 0
			}
		}},
		"a run that is canceled": {probe: func(f *crashFleet) {
			f.submit("quick", "p", only(lasting(tasks(1, 4))))
			f.pass(quarantineTime+100*time.Millisecond, never)
			f.d.Cancel(f.now, "p", "")
		}},
		"a member of a gang": {probe: func(f *crashFleet) {
			s := lasting(tasks(2, 4))
			s.Gang = true
			f.submit("quick", "p", only(s))
		}},
		"a run without an answer": {probe: func(f *crashFleet) {
			f.submit("quick", "p", only(tasks(1, 4)))
			f.pass(quarantineTime-time.Second, never)
			f.loseStart = true
			f.pass(time.Second+100*time.Millisecond, never)
		}},
		"a worker that is cut off": {probe: func(f *crashFleet) {
			f.submit("quick", "p", only(lasting(tasks(1, 4))))
			f.pass(quarantineTime+100*time.Millisecond, never)
			f.silentUntil[workerID(0)] = f.now + 2*time.Second
			f.pass(2*time.Second, never)
		}},
		"runs that fail anywhere": {probe: func(f *crashFleet) {
			f.failsAlways[taskID("p", 0)] = true
			f.submit("quick", "p", only(lasting(tasks(1, 4))))
		}},
		"a suspected task": {probe: func(f *crashFleet) {
			f.submit("quick", "p", only(lasting(tasks(1, 4))))
			f.d.findTask(taskID("p", 0)).history.suspect = true
		}},
	} {
		if c.before == nil {
			c.before = func(*crashFleet) {}
		}
		f := newProbeFleet(t, c.before)
		if c.probe != nil {
			c.probe(f)
		}
		f.pass(time.Second, never)
		f.submit("rebuild", "late", only(tasks(1, 4)))
		began := f.now
		f.pass(30*time.Second, func() bool { return f.starts[taskID("late", 0)] > 0 })
		if took := f.now - began; took > bound {
			t.Errorf("probed by %s: a submission begins after %v, want at most %v", name, took, time.Duration(bound))
		}
	}
}

// A worker that goes on failing gets one run in each quarantine, whatever the age at which its runs fail.
func TestFailingWorkerIsNotOpenedByAProbe(t *testing.T) {
	for _, age := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 1800 * time.Millisecond} {
		f := newProbeFleet(t, func(*crashFleet) {})
		f.failing[workerID(0)], f.failAfter = true, age
		f.d.workers[workerID(0)].oldestFailure = age
		long := tasks(8, 2)
		long.Estimate = 3 * time.Second
		f.submit("rebuild", "p", only(lasting(long)))
		f.pass(30*time.Second, func() bool { return false })
		starts := 0
		for i := range 8 {
			starts += f.starts[taskID("p", i)]
		}
		if most := int(30*time.Second/quarantineTime) + 1; starts > most || starts < 3 {
			t.Errorf("runs that fail at the age of %v: %d starts in 30 s, want 3 to %d", age, starts, most)
		}
	}
}
