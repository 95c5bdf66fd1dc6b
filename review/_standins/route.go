package main

import (
	"errors"
	"syscall"
	"time"
)

// runRoute drops two routes while accepted submissions of them are at work, and ends the process of the owner.
func runRoute(e *environment) error {
	const waits, fails = "00000000000000b1", "00000000000000b2"
	first, second := step{Count: 4, CPU: 2500, Memory: 9300, EstimateMS: 4000}, step{Count: 4, CPU: 2500, Memory: 9300, EstimateMS: 4000, After: []int{0}}
	if !e.submit(rebuildPrefix, waits, true, "ms=4000", first, second) || !e.submit(quickPrefix, fails, false, "ms=4000 fails=1", first) {
		return errors.New("a submission was not accepted")
	}
	if !await(5*time.Second, func() bool {
		a, _ := e.ledger.counts(waits)
		b, _ := e.ledger.counts(fails)
		return a == 4 && b == 4
	}) {
		return errors.New("the tasks have not been started")
	}
	e.configure(2, route("sync", syncPrefix, 2, true, 1))
	time.Sleep(2500 * time.Millisecond) // config-apply-ms, and a little longer
	if e.trouble {
		owner := e.owner()
		if owner == nil {
			return errors.New("no process owns the key")
		}
		owner.signal(syscall.SIGKILL)
	}
	time.Sleep(16 * time.Second) // finish_s, and a little longer
	idleSince := time.Now()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		running, done := e.ledger.counts(waits)
		if running > 0 || done == 8 {
			idleSince = time.Now()
			if done == 8 {
				break
			}
		}
	}
	running, done := e.ledger.counts(waits)
	e.rec.log("submission %s: %d tasks of 8 are done, %d run", waits, done, running)
	if idle := time.Since(idleSince); idle > 3*time.Second {
		e.broken.add("LOST: %v after the last submission was sent, nothing of submission %s has run for %v, though %d of its 8 tasks wait, %d starts were refused for their tickets, and the executors are empty",
			24*time.Second, waits, idle.Round(100*time.Millisecond), 8-done, e.ticketRefusals())
	}
	e.configure(3, firstRoutes()...)
	time.Sleep(2500 * time.Millisecond)
	failedEnds := e.ledger.failedEnds(fails)
	if state := e.state(quickPrefix, fails); state == "failed" && failedEnds < 3 {
		e.broken.add("LOST: submission %s is shown as failed, though no task of it has failed more than %d times, and attempts is 3 in each desired state that has its route", fails, failedEnds)
	} else if state == "" {
		return errors.New("the state of a submission cannot be read")
	}
	e.state(rebuildPrefix, waits)
	return nil
}
