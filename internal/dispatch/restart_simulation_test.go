package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/proptest"
	"filbertcross/internal/verdict"
)

// simLongRun is the estimate of steps whose runs outlast any lease. It occurs only with simRestarts.
const simLongRun = 10 * time.Second

// simRestarts is the part of a history in which workers crash silently, are soon up again, and are cut off. Their connections stay
// open, so that an incarnation may execute what was meant for the previous one.
type simRestarts struct {
	rng           *rand.Rand // separate, so that older seeds keep their faults
	replaceOwners bool
	counts        map[string]int // what the histories contain
}

func (r *simRestarts) count(what string) {
	if r != nil {
		r.counts[what]++
	}
}

func (r *simRestarts) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.rng.Int64N(int64(to-from)))
}

// nextClock returns the first reading of the clock of a worker's next incarnation.
func (r *simRestarts) nextClock(w *simWorker) int64 {
	if r == nil {
		return 1000
	}
	next := r.rng.Int64N(5_000_000)
	if r.rng.IntN(2) == 0 {
		next = max(w.clock()+r.rng.Int64N(20_000)-15_000, 0)
	}
	r.count(fmt.Sprintf("clock lower: %v", next < w.clock()))
	return next
}

// begin begins a series of faults of one worker, or reports that another fault is due.
func (r *simRestarts) begin(h *simHistory) bool {
	ready := slices.DeleteFunc(slices.Clone(h.workers), func(w *simWorker) bool { return !w.up || w.partitioned || w.inSeries })
	if len(h.workers)-len(ready) >= 4 || r.rng.IntN(4) == 0 {
		return false
	}
	w := ready[r.rng.IntN(len(ready))]
	short := func(from, to time.Duration) time.Duration { return min(r.between(from, to), r.between(from, to)) }
	down := short(200*time.Millisecond, 1500*time.Millisecond)
	cut := down + short(50*time.Millisecond, 4*time.Second)
	w.inSeries = true
	w.crash(down)
	incarnation := w.entry.Incarnation
	h.schedule(cut, func() {
		w.inSeries = false
		if !w.up || w.entry.Incarnation != incarnation {
			return
		}
		for _, run := range w.runs {
			if run.duration >= 6*time.Second {
				r.count("long run cut off")
			}
		}
		w.partitioned = true
		h.schedule(r.between(5*time.Second, 10*time.Second), func() { w.partitioned = false })
	})
	if r.replaceOwners && r.rng.IntN(3) == 0 {
		h.schedule(r.between(down, cut+300*time.Millisecond), func() {
			r.count("owner replaced")
			h.replaceOwner()
		})
	}
	return true
}

// noteOrigin makes a command leave a note on its worker if it was meant for an earlier incarnation than the one that executes it.
func (h *simHistory) noteOrigin(owner *simOwner, w *simWorker, do func() error) func() error {
	known := owner.d.workers[w.entry.ID]
	if h.restarts == nil || known == nil {
		return do
	}
	meantFor, up, current := known.incarnation, w.up, w.entry.Incarnation
	return func() error {
		w.executing = ""
		if w.entry.Incarnation != meantFor && up && w.entry.Incarnation == current {
			w.executing = " for an earlier incarnation, sent after the restart"
		} else if w.entry.Incarnation != meantFor {
			w.executing = " for an earlier incarnation, sent before the restart"
		}
		return do()
	}
}

// executeAfterRestart delivers a command that did not find its incarnation to the one that is up at some time within the timeout. The
// response may be lost, as is that of a renewal which waits beyond the timeout.
func (h *simHistory) executeAfterRestart(owner *simOwner, w *simWorker, do func() error, reply func(time.Duration, error), timeout time.Duration) {
	delay, answered := h.restarts.between(0, timeout), h.restarts.rng.IntN(2) == 0
	if h.restarts.rng.IntN(2) == 0 {
		delay = min(max(w.upAt-h.now, 0)+h.restarts.between(0, 50*time.Millisecond), timeout)
	}
	h.schedule(delay, func() {
		var err error = &fleet.CallError{Op: "order", Verdict: verdict.MayHaveRun}
		wait := timeout - delay
		if w.up && !w.partitioned && w.separatedFrom != owner {
			w.advance()
			if result := do(); answered {
				err, wait = result, time.Millisecond
			}
		}
		reply(wait, err)
	})
}

// Guards against a task that runs twice because a command for the previous incarnation of its worker extended the lease beyond what
// the owner counts.
func TestSimulatedHistoriesOfCallsToRestartedWorkers(t *testing.T) {
	first := seedFromEnvironment(proptest.SeedVariable, 1) * 1_000_000
	for _, queue := range []string{"quick", advisedQueue} {
		counts := map[string]int{}
		for i := range seedFromEnvironment(proptest.ChecksVariable, 30) {
			replaceOwners := i%2 == 0
			t.Run(fmt.Sprintf("%s,replaced=%v,%d", queue, replaceOwners, first+i), func(t *testing.T) {
				h := newHistory(t, first+i, nil, queue)
				h.restarts = &simRestarts{rng: rand.New(rand.NewPCG(first+i, 5)), replaceOwners: replaceOwners, counts: counts}
				for range 3 {
					h.addWorker(len(h.workers))
				}
				for _, w := range h.workers {
					w.clockBase = h.restarts.rng.Int64N(5_000_000)
				}
				h.run()
			})
		}
		t.Logf("%s: %v", queue, counts)
		for _, what := range []string{"renewal for an earlier incarnation, sent before the restart", "start for an earlier incarnation, sent after the restart",
			"clock lower: true", "clock lower: false", "long run cut off", "owner replaced"} {
			if counts[what] == 0 {
				t.Errorf("the histories of queue %s do not contain what they are for: %s", queue, what)
			}
		}
	}
}
