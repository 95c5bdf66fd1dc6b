package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// runCrashes crashes one executor after the other, each chosen at random, while submissions run that no task of fails.
func runCrashes(e *environment) error {
	var ids []string
	stop := time.Now().Add(30 * time.Second)
	nextCrash := time.Now().Add(2 * time.Second)
	for i := 0; time.Now().Before(stop); i++ {
		id := fmt.Sprintf("%016x", 0xd000+i)
		if e.submit(quickPrefix, id, false, "ms=4800", step{Count: 10, CPU: 2500, Memory: 9300, EstimateMS: 4800}) {
			ids = append(ids, id)
		}
		if e.trouble && time.Now().After(nextCrash) {
			nextCrash = nextCrash.Add(1200 * time.Millisecond)
			e.crashOne(2*time.Second, 2)
		}
		time.Sleep(600 * time.Millisecond)
	}
	if len(ids) == 0 {
		return errors.New("no submission was accepted")
	}
	time.Sleep(20 * time.Second) // finish_s, and a little longer
	states := map[string]int{}
	for _, id := range ids {
		state := e.state(quickPrefix, id)
		states[state]++
		if failed := e.ledger.failedEnds(id); state == "failed" && failed == 0 {
			e.broken.add("LOST: submission %s is shown as failed, though no run of its tasks has ended as failed; attempts is 3", id)
		}
	}
	e.rec.log("%d submissions: %v; ends of runs: %v", len(ids), states, e.ledger.ends)
	return nil
}

// crashOne crashes a random executor for a time, unless most of them are down already.
func (c *cluster) crashOne(down time.Duration, most int) {
	var up []*executor
	for _, x := range c.executors {
		x.mu.Lock()
		if x.up {
			up = append(up, x)
		}
		x.mu.Unlock()
	}
	if len(up) <= len(c.executors)-most {
		return
	}
	x := up[rand.IntN(len(up))]
	x.crash()
	c.mu.Lock()
	id := c.newID()
	c.mu.Unlock()
	time.AfterFunc(down, func() { x.restart(id) })
}
