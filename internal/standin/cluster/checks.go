package cluster

import (
	"fmt"
	"sort"
	"sync"

	"filbertcross/internal/model"
	"filbertcross/internal/standin"
	"filbertcross/internal/verdict"
)

// Checks collects what held and what did not. Safe for concurrent use.
type Checks struct {
	mu      sync.Mutex
	results []checkResult
}

type checkResult struct {
	name   string
	ok     bool
	detail string
}

// Expect notes whether something held.
func (c *Checks) Record(name string, ok bool, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, checkResult{name: name, ok: ok, detail: detail})
}

// Fail notes that something did not hold.
func (c *Checks) RecordFailure(name, detail string) { c.Record(name, false, detail) }

// Failed reports whether anything did not hold.
func (c *Checks) Failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if !r.ok {
			return true
		}
	}
	return false
}

// Print writes a line for each check.
func (c *Checks) Print() {
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

// Overlap returns two runs of one task that overlap in time, if there are any.
func FindOverlap(runs []standin.TaskRun) (a, b standin.TaskRun, found bool) {
	runsByTask := map[model.TaskID][]standin.TaskRun{}
	for _, run := range runs {
		runsByTask[run.Task] = append(runsByTask[run.Task], run)
	}
	for _, taskRuns := range runsByTask {
		sort.Slice(taskRuns, func(i, j int) bool { return taskRuns[i].From.Before(taskRuns[j].From) })
		for i := 1; i < len(taskRuns); i++ {
			previous := taskRuns[i-1]
			if previous.Until.IsZero() || previous.Until.After(taskRuns[i].From) {
				return previous, taskRuns[i], true
			}
		}
	}
	return a, b, false
}

// OverCapacity returns a worker that ran more than its capacity at once.
func FindOverCapacity(runs []standin.TaskRun, capacity model.Resources) (model.WorkerID, bool) {
	runsByWorker := map[model.WorkerID][]standin.TaskRun{}
	for _, r := range runs {
		runsByWorker[r.Worker] = append(runsByWorker[r.Worker], r)
	}
	for worker, workerRuns := range runsByWorker {
		for _, run := range workerRuns {
			if !concurrentResources(workerRuns, run).FitsIn(capacity) {
				return worker, true
			}
		}
	}
	return "", false
}

// granted sums the runs that were under way when the given one began.
func concurrentResources(runs []standin.TaskRun, start standin.TaskRun) model.Resources {
	var sum model.Resources
	for _, run := range runs {
		started := !run.From.After(start.From)
		unfinished := run.Until.IsZero() || run.Until.After(start.From)
		if started && unfinished {
			sum = sum.Add(run.Size)
		}
	}
	return sum
}

// BookingFaults are what callers were told of bookings compared with what ran.
type BookingComparison struct {
	Total             int // bookings
	RanTwice          int // ran more than once
	RanDespiteNotRun  int // all callers heard "not run", and it ran
	NotRunDespiteDone int // a caller heard "done", and it did not run
}

// CompareBookings compares the verdicts with the backend servers' account.
func CompareBookings(verdicts map[string]verdict.Verdict, ran map[string]int) BookingComparison {
	f := BookingComparison{Total: len(verdicts)}
	for booking, v := range verdicts {
		if ran[booking] > 1 {
			f.RanTwice++
		}
		if v == verdict.NotRun && ran[booking] > 0 {
			f.RanDespiteNotRun++
		}
		if v == verdict.Done && ran[booking] == 0 {
			f.NotRunDespiteDone++
		}
	}
	return f
}

// Expect notes the three checks.
func (comparison BookingComparison) RecordTo(c *Checks) {
	total := fmt.Sprintf("of %d bookings", comparison.Total)
	c.Record("no booking ran twice", comparison.RanTwice == 0, fmt.Sprintf("%d %s", comparison.RanTwice, total))
	c.Record("no booking of which callers heard only 'not run' ran", comparison.RanDespiteNotRun == 0, fmt.Sprintf("%d %s", comparison.RanDespiteNotRun, total))
	c.Record("every booking told 'done' ran", comparison.NotRunDespiteDone == 0, fmt.Sprintf("%d %s", comparison.NotRunDespiteDone, total))
}
