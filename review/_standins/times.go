package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// endless is the largest whole number that every JSON implementation keeps.
const endless = 1<<53 - 1

// runTimes hands in a submission that is to run every two seconds without end.
func runTimes(e *environment) error {
	const ordinary, timed, later = "00000000000000c1", "00000000000000c2", "00000000000000c3"
	work := step{Count: 2, CPU: 2500, Memory: 9300, EstimateMS: 4000}
	if !e.submit(quickPrefix, ordinary, false, "ms=4000", work, step{Count: 2, CPU: 2500, Memory: 9300, EstimateMS: 4000, After: []int{0}}) {
		return errors.New("a submission was not accepted")
	}
	time.Sleep(time.Second)
	times := 4
	if e.trouble {
		times = endless
	}
	body, _ := json.Marshal(map[string]any{
		"spec": "ms=500", "steps": []step{{Count: 1, CPU: 500, Memory: 256, EstimateMS: 500}},
		"times": times, "first-run-ms": time.Now().Add(2 * time.Second).UnixMilli(), "interval-ms": 2000,
	})
	status, _ := e.call(http.MethodPost, quickPrefix+timed, body)
	if status/100 != 2 && e.trouble {
		e.rec.log("the timed submission is not accepted: %d", status)
	}
	time.Sleep(time.Second)
	accepted := e.submit(quickPrefix, later, false, "ms=1000", step{Count: 2, CPU: 2500, Memory: 9300, EstimateMS: 1000})
	time.Sleep(16 * time.Second) // finish_s, and a little longer
	for _, n := range e.nodes {
		n.mu.Lock()
		e.rec.log("process %s has ended %d times by itself", n.name, n.exits)
		n.mu.Unlock()
	}
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, id := range []string{ordinary, later} {
			if running, done := e.ledger.counts(id); running > 0 || done >= 2 && id == later || done >= 4 {
				return nil
			}
		}
	}
	_, done := e.ledger.counts(ordinary)
	e.broken.add("LOST: nothing of submission %s (%d tasks of 4 are done, state %q) nor of %s (accepted: %v, state %q) has run for 3.5 s, though the executors are empty",
		ordinary, done, e.state(quickPrefix, ordinary), later, accepted, e.state(quickPrefix, later))
	return nil
}
