// Command slopes measures the scheduler's memory for each worker, running task and waiting task
// and its time for each event, at several cluster and queue sizes. It prints Markdown tables for
// the capacity page. All figures come from one run on one core.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"text/tabwriter"
	"time"
)

var (
	workerCounts  = []int{50, 500, 3700}
	waitingCounts = []int{1_000, 10_000, 100_000}
)

func main() {
	runtime.GOMAXPROCS(1)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	writeMemory(out)
	writeTimes(out)
	if err := out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// heapBytes returns the size of the live heap objects, after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// memoryUse is the heap used by one combination of cluster and queue size.
type memoryUse struct {
	workers, running, waiting                           int
	workerBytes, runningBytes, waitingBytes, fixedBytes int64
}

func measureMemory(workers, waiting int) memoryUse {
	initial := heapBytes()
	l := newLoadGenerator(0)
	fixed := heapBytes()
	l.addWorkers(workers)
	withWorkers := heapBytes()
	l.fillCluster()
	running := len(l.running)
	l.running, l.runningIndex = nil, nil // exclude the load generator's own state
	withRunning := heapBytes()
	l.submitTasks(waiting)
	withWaiting := heapBytes()
	defer runtime.KeepAlive(l)
	return memoryUse{
		workers: workers, running: running, waiting: waiting,
		fixedBytes:   fixed - initial,
		workerBytes:  withWorkers - fixed,
		runningBytes: withRunning - withWorkers,
		waitingBytes: withWaiting - withRunning,
	}
}

// writeMemory prints the heap used at each size and the slopes between the smallest and the
// largest size.
func writeMemory(out io.Writer) {
	fmt.Fprintln(out, "| workers\t| running\t| waiting\t| KiB fixed\t| KiB of workers\t| KiB of running\t| KiB of waiting\t|")
	fmt.Fprintln(out, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	var all []memoryUse
	for _, workers := range workerCounts {
		for _, waiting := range waitingCounts {
			f := measureMemory(workers, waiting)
			all = append(all, f)
			fmt.Fprintf(out, "| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t|\n", f.workers, f.running, f.waiting,
				f.fixedBytes>>10, f.workerBytes>>10, f.runningBytes>>10, f.waitingBytes>>10)
		}
	}
	first, last := all[0], all[len(all)-1]
	fmt.Fprintf(out, "\nSlopes: %d bytes a worker, %d bytes a running task, %d bytes a waiting task.\n",
		(last.workerBytes-first.workerBytes)/int64(last.workers-first.workers),
		(last.runningBytes-first.runningBytes)/int64(last.running-first.running),
		(last.waitingBytes-first.waitingBytes)/int64(last.waiting-first.waiting))
}

// writeTimes prints the time of each kind of event on a full cluster.
func writeTimes(out io.Writer) {
	fmt.Fprintln(out)
	fmt.Fprintln(out, "| workers\t| waiting\t| decisions\t| ns a decision, median\t| against 50 workers\t| Decide p50/p99 µs\t| ns a Submit\t| ns a Confirm\t| ns an Observe\t| ns a Finish\t|")
	fmt.Fprintln(out, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, waiting := range waitingCounts {
		var loads []*loadGenerator
		for _, workers := range workerCounts {
			l := newLoadGenerator(workers)
			l.fillCluster()
			l.submitTasks(waiting)
			loads = append(loads, l)
		}
		runRounds(loads)
		baseNanos := float64(loads[0].timePerDecision.ValueAtQuantile(50))
		for i, l := range loads {
			cost, medianNanos := l.cost, float64(l.timePerDecision.ValueAtQuantile(50))
			fmt.Fprintf(out, "| %d\t| %d\t| %d\t| %.0f\t| %.2f\t| %.0f / %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t|\n",
				workerCounts[i], waiting, cost.decisions, medianNanos, medianNanos/baseNanos,
				toMicros(l.decideTimes.ValueAtQuantile(50)), toMicros(l.decideTimes.ValueAtQuantile(99)),
				nanosPerEvent(cost.submit, cost.submits), nanosPerEvent(cost.confirm, cost.decisions),
				nanosPerEvent(cost.observe, cost.finishes), nanosPerEvent(cost.finish, cost.finishes))
		}
	}
}

func nanosPerEvent(total time.Duration, events int) float64 {
	return float64(total.Nanoseconds()) / float64(max(events, 1))
}

func toMicros(nanoseconds int64) float64 { return float64(nanoseconds) / 1000 }
