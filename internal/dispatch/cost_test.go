package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// costCluster answers the commands of a dispatcher in rounds of costRound. Advice allows every
// worker that a call names.
type costCluster struct {
	*harness
	ends    map[model.WorkerID][]costEnd
	polls   map[model.WorkerID]bool
	advised []costAdvice
	started int
}

type costEnd struct {
	at  time.Duration
	run StartCommand
}

type costAdvice struct {
	at   time.Duration
	call AdviseCommand
}

const (
	costRound   = 10 * time.Millisecond
	costRunTime = 640 * time.Millisecond
)

var costPolicy = fleet.AdvicePolicy{BaseLatency: 30 * time.Millisecond, LatencyPerWorker: 430 * time.Microsecond, TicketValidity: 2500 * time.Millisecond}

func newCostCluster(t *testing.T, workers int) *costCluster {
	t.Helper()
	h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: map[model.WorkerID]int64{}}
	h.d = New(h.now, testOptions(), event.Discard{})
	configuration := testConfiguration()
	configuration.Queues[2].Advice = &costPolicy
	h.d.SetConfiguration(configuration)
	h.d.SetAdviceSlots(workers / 5)
	h.listWorkers(workers)
	return &costCluster{harness: h, ends: map[model.WorkerID][]costEnd{}, polls: map[model.WorkerID]bool{}}
}

// round lets one round pass.
func (c *costCluster) round() {
	c.commitAll()
	c.decide()
	for _, s := range c.starts {
		c.started++
		c.d.HandleStartResponse(c.now, s.Start.RunID, s.To.ID, c.now.Milliseconds(), nil)
		c.ends[s.To.ID] = append(c.ends[s.To.ID], costEnd{c.now + costRunTime, s})
	}
	for _, call := range c.adviceCalls {
		c.advised = append(c.advised, costAdvice{c.now + costPolicy.Latency(len(call.Workers)), call})
	}
	for _, renewal := range c.renewals {
		c.polls[renewal.To.ID] = true
	}
	c.advance(costRound)
	for _, w := range c.d.workerList {
		if id := w.entry.ID; c.polls[id] {
			c.answerPoll(id)
		}
	}
	waiting := c.advised[:0]
	for _, a := range c.advised {
		if a.at > c.now {
			waiting = append(waiting, a)
			continue
		}
		allowed := map[model.WorkerID]string{}
		for _, id := range a.call.Workers {
			allowed[id] = "ticket"
		}
		c.d.HandleAdvice(c.now, a.call.Step, a.call.Workers, allowed, costPolicy.TicketValidity, nil)
	}
	c.advised = waiting
}

// answerPoll reports the runs that have ended on the worker.
func (c *costCluster) answerPoll(id model.WorkerID) {
	var results []fleet.RunResult
	running := c.ends[id][:0]
	for _, e := range c.ends[id] {
		if e.at <= c.now {
			results = append(results, c.runResult(e.run, fleet.OutcomeDone))
		} else {
			running = append(running, e)
		}
	}
	c.ends[id] = running
	c.polls[id] = false
	c.d.HandleReport(c.now, c.now-time.Millisecond, id, false, fleet.Report{
		Incarnation: 1, Clock: c.now.Milliseconds(), Running: c.runStatuses(id, results...), Ended: results,
	})
}

// examinedPerStart plays three seconds of submissions of nine tasks each, perSecond of them.
func (c *costCluster) examinedPerStart(perSecond float64) float64 {
	submitted := 0
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += costRound {
		for ; float64(submitted) < perSecond*elapsed.Seconds(); submitted++ {
			c.submit("advised", fleet.JobID(fmt.Sprintf("%06d", submitted)), fleet.Step{Tasks: 9, Demand: cores(7), Estimate: costRunTime})
		}
		c.round()
	}
	return float64(c.d.DecisionLoad().Examined) / float64(c.started)
}

// Load: a burst of short submissions with advice, a fifth more than fits, on fleets of two sizes.
// Guards against an owner that examines every worker for each task that waits: on 540 workers its
// processor was busy with that, and most of the short submissions were late.
func TestCostOfAStartDoesNotGrowWithTheFleet(t *testing.T) {
	const growth = 1.5 // goal of docs/design/placement-measured.md for 3,700 workers beside 50
	overload := func(workers int) float64 {
		fits := float64(workers) * 4 / 9 / costRunTime.Seconds() // a worker has room for four tasks
		return newCostCluster(t, workers).examinedPerStart(1.2 * fits)
	}
	small, large := overload(50), overload(540)
	t.Logf("workers examined for each start: %.0f of 50, %.0f of 540", small, large)
	if large > growth*small {
		t.Fatalf("%.0f workers are examined for each start in a fleet of 540, and %.0f in one of 50", large, small)
	}
}
