package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// BenchmarkOwnerBySizeOfSubmission measures what one submission costs the owner by what it asks for, while one
// worker of 32 cores serves it: a decision, and the heap that the submission and its work hold.
func BenchmarkOwnerBySizeOfSubmission(b *testing.B) {
	for _, size := range []struct{ occurrences, tasks int }{
		{0, 1}, {0, 1000}, {0, 100_000}, {1000, 1}, {1_000_000, 1}, {endless, 1}, {1_000_000, 100},
	} {
		b.Run(fmt.Sprintf("occurrences=%d/tasks=%d", size.occurrences, size.tasks), func(b *testing.B) {
			heap := func() float64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc) / (1 << 20)
			}
			before := heap()
			now, wall := time.Hour, time.Unix(1_800_000_000, 0)
			d := New(now, testOptions(), event.Discard{})
			d.SetConfiguration(testConfiguration())
			d.SetWorkers(now, now, []fleet.WorkerEntry{workerEntry(0)})
			d.AddJob(now, &fleet.Submission{ID: "j", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(size.tasks, 1)}, Occurrences: size.occurrences, FirstRun: wall}, testFence+1, 0, nil)
			results := int64(0)
			var ended []fleet.RunResult
			var busy time.Duration
			for b.Loop() {
				now += sweepInterval
				wall = wall.Add(sweepInterval)
				begin := time.Now()
				d.HandleReport(now, now, workerID(0), false, fleet.Report{Incarnation: 1, Clock: now.Milliseconds(), Ended: ended})
				if batch := d.NextBatch(now, 15); len(batch) > 0 {
					d.HandleBatchResult(now, batch, true)
				}
				commands := d.Decide(now, wall, true)
				busy += time.Since(begin)
				ended = ended[:0]
				for _, c := range commands {
					if s, ok := c.(StartCommand); ok {
						results++
						ended = append(ended, fleet.RunResult{Number: results, RunID: s.Start.RunID, Outcome: fleet.OutcomeDone})
						d.HandleStartResponse(now, s.Start.RunID, s.To.ID, now.Milliseconds(), nil)
					}
				}
			}
			b.ReportMetric(float64(busy.Microseconds())/float64(b.N), "µs/decision")
			b.ReportMetric(heap()-before, "MB")
			runtime.KeepAlive(d)
		})
	}
}
