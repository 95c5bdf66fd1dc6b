package main

import (
	"fmt"
	"sort"
	"sync"

	"filbertcross/internal/model"
	"filbertcross/internal/standin"
)

// checks collects what held and what did not.
type checks struct {
	mu      sync.Mutex
	results []result
}

type result struct {
	name   string
	ok     bool
	detail string
}

func (c *checks) expect(name string, ok bool, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result{name: name, ok: ok, detail: detail})
}

func (c *checks) fail(name, detail string) { c.expect(name, false, detail) }

func (c *checks) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if !r.ok {
			return true
		}
	}
	return false
}

func (c *checks) print() {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Println("\nsummary")
	for _, r := range c.results {
		mark := "ok    "
		if !r.ok {
			mark = "FAILED"
		}
		fmt.Printf("  %s %-60s %s\n", mark, r.name, r.detail)
	}
}

// overlap returns two runs of one task that overlap in time, if there are any.
func overlap(runs []standin.Run) (a, b standin.Run, found bool) {
	byTask := map[model.TaskID][]standin.Run{}
	for _, run := range runs {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for _, same := range byTask {
		sort.Slice(same, func(i, j int) bool { return same[i].From.Before(same[j].From) })
		for i := 1; i < len(same); i++ {
			before := same[i-1]
			if before.Until.IsZero() || before.Until.After(same[i].From) {
				return before, same[i], true
			}
		}
	}
	return a, b, false
}

// overCapacity returns a worker that ran more than its capacity at once.
func overCapacity(runs []standin.Run, capacity model.Resources) (model.WorkerID, bool) {
	byWorker := map[model.WorkerID][]standin.Run{}
	for _, run := range runs {
		byWorker[run.Worker] = append(byWorker[run.Worker], run)
	}
	for worker, own := range byWorker {
		for _, at := range own {
			if !granted(own, at).Fits(capacity) {
				return worker, true
			}
		}
	}
	return "", false
}

// granted sums the runs that were under way when the given one began.
func granted(runs []standin.Run, at standin.Run) model.Resources {
	var sum model.Resources
	for _, run := range runs {
		begun := !run.From.After(at.From)
		going := run.Until.IsZero() || run.Until.After(at.From)
		if begun && going {
			sum = sum.Add(run.Size)
		}
	}
	return sum
}
