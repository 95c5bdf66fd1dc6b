package main

import (
	"errors"
	"syscall"
	"time"
)

// runPaused ends the process of the owner while tasks that fill are paused for the sake of tasks that serve.
func runPaused(e *environment) error {
	const serving, filling = "00000000000000e1", "00000000000000e2"
	e.loads = tail
	if !e.submit(quickPrefix, serving, false, "lasts", step{Count: 2, CPU: 6700, Memory: 25000, LongRunning: true, Image: "s", TargetMS: 100}) {
		return errors.New("a submission was not accepted")
	}
	time.Sleep(time.Second)
	if !e.submit(quickPrefix, filling, false, "ms=4000", step{Count: 2, CPU: 6700, Memory: 11000, EstimateMS: 4000, Image: "f", Fills: true}) {
		return errors.New("a submission was not accepted")
	}
	if !await(20*time.Second, func() bool { paused, all, _ := e.paused(filling); return all == 2 && paused == all }) {
		return errors.New("the tasks that fill are not paused")
	}
	if e.trouble {
		owner := e.owner()
		if owner == nil {
			return errors.New("no process owns the key")
		}
		owner.signal(syscall.SIGKILL)
	}
	time.Sleep(12 * time.Second)
	e.cancel(quickPrefix, serving) // the executors have nothing else to do from here on
	time.Sleep(16 * time.Second)   // finish_s, and a little longer
	_, _, before := e.paused(filling)
	window := 10 * time.Second
	time.Sleep(window)
	paused, all, work := e.paused(filling)
	_, done := e.ledger.counts(filling)
	state := e.state(quickPrefix, filling)
	e.rec.log("submission %s: %d of 2 tasks are done; of %d runs %d are at pace 0; work in the last %v: %v", filling, done, all, paused, window, work-before)
	if done < 2 && paused == all && work == before {
		e.broken.add("LOST: nothing of submission %s (shown as %q) has worked for %v: its %d runs are at pace 0, though no task that serves runs beside them and the executors are empty", filling, state, window, all)
	}
	return nil
}

// tail is the tail of a serving task's response times in ms. Its target is 100; a task that fills beside it at a pace above 25
// brings it over that.
func tail(e *executor, r *taskRun) int {
	if !r.spec.lasts {
		return 0
	}
	pace := 0
	for _, other := range e.runs {
		if !other.spec.lasts {
			pace = max(pace, other.pace)
		}
	}
	if pace > 25 {
		return 300
	}
	return 20 + pace
}

// paused returns how many runs of the submission there are, how many of them are at pace 0, and their work so far.
func (c *cluster) paused(id string) (paused, all int, work time.Duration) {
	for _, x := range c.executors {
		x.mu.Lock()
		for task, r := range x.runs {
			if task[:len(id)] != id {
				continue
			}
			all++
			work += r.work
			if r.pace == 0 {
				paused++
			}
		}
		x.mu.Unlock()
	}
	return paused, all, work
}

// cancel cancels a submission, as a client does.
func (c *cluster) cancel(prefix, id string) {
	for range 5 {
		if status, _ := c.call("DELETE", prefix+id, nil); status/100 == 2 || status == 410 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
