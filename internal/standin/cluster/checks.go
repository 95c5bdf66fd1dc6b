package cluster

import (
	"fmt"
	"sort"
	"sync"

	"filbertcross/internal/model"
	"filbertcross/internal/standin"
	"filbertcross/internal/verdict"
)

// Checks collects the results of checks. Safe for concurrent use.
type Checks struct {
	mu      sync.Mutex
	results []checkResult
}

type checkResult struct {
	name   string
	ok     bool
	detail string
}

// Record adds the result of a check.
func (c *Checks) Record(name string, ok bool, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, checkResult{name: name, ok: ok, detail: detail})
}

// RecordFailure adds a failed check.
func (c *Checks) RecordFailure(name, detail string) { c.Record(name, false, detail) }

// Failed reports whether any check failed.
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

// Print writes one line for each check to standard output.
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

// FindOverlap returns two runs of one task that overlap in time, if there are any. A
// run without an end overlaps all later runs of its task.
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

// FindOverCapacity returns a worker whose concurrent runs exceeded its capacity, if any.
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

// concurrentResources returns the total size of the runs in progress when start began,
// including start.
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

// BookingComparison counts the bookings whose verdict contradicts the requests that ran.
type BookingComparison struct {
	Total             int // all bookings
	RanTwice          int // ran more than once
	RanDespiteNotRun  int // all callers received "not run", but the booking ran
	NotRunDespiteDone int // a caller received "done", but the booking did not run
}

// CompareBookings compares the verdicts that callers received with the number of runs
// that the backend servers counted, both by booking.
func CompareBookings(verdicts map[string]verdict.Verdict, ran map[string]int) BookingComparison {
	comparison := BookingComparison{Total: len(verdicts)}
	for booking, v := range verdicts {
		if ran[booking] > 1 {
			comparison.RanTwice++
		}
		if v == verdict.NotRun && ran[booking] > 0 {
			comparison.RanDespiteNotRun++
		}
		if v == verdict.Done && ran[booking] == 0 {
			comparison.NotRunDespiteDone++
		}
	}
	return comparison
}

// RecordTo adds one check for each kind of contradiction.
func (b BookingComparison) RecordTo(c *Checks) {
	total := fmt.Sprintf("of %d bookings", b.Total)
	c.Record("no booking ran twice", b.RanTwice == 0, fmt.Sprintf("%d %s", b.RanTwice, total))
	c.Record("no booking ran whose callers received only 'not run'", b.RanDespiteNotRun == 0, fmt.Sprintf("%d %s", b.RanDespiteNotRun, total))
	c.Record("every booking reported as 'done' ran", b.NotRunDespiteDone == 0, fmt.Sprintf("%d %s", b.NotRunDespiteDone, total))
}
