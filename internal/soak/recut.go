package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const meanRecutInterval = 4 * time.Second // shorter than most recuts, so that they overlap

// injectRecuts recuts workers until end and prints each. Half of the recuts hit the workers of the one before. They have
// random numbers of their own, so that each seed has the faults that it had without them.
func (r *soakRun) injectRecuts(ctx context.Context, rng *rand.Rand, end time.Time) {
	start := time.Now()
	var workers []int
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanRecutInterval)))
		if time.Now().After(end) {
			return
		}
		if len(workers) == 0 || rng.IntN(2) == 0 {
			n := 1
			if half := len(r.platform.Workers) / 2; half > 1 && rng.IntN(2) == 0 {
				n += rng.IntN(half)
			}
			workers = rng.Perm(len(r.platform.Workers))[:n]
		}
		at := time.Since(start)
		_, _ = fmt.Fprintf(r.opts.Out, "%8.3f worker-recut %s\n", at.Seconds(), r.recut(rng, workers))
	}
}

// recut crashes workers silently, restarts them under their IDs and cuts them off soon after. In a third of the cases a VM is
// killed between the restart and the cut.
func (r *soakRun) recut(rng *rand.Rand, workers []int) string {
	modes := []ProxyMode{StallAll, StallAll, StallAll, StallResponses, StallRequests, Reset}
	mode := modes[rng.IntN(len(modes))]
	// The earlier a worker is back, the more calls to its former incarnation wait.
	back := min(between(rng, 200*time.Millisecond, time.Second), between(rng, 200*time.Millisecond, time.Second))
	cut := back + between(rng, 100*time.Millisecond, 3*time.Second)
	duration := between(rng, 5*time.Second, 9*time.Second)
	for _, i := range workers {
		w := r.platform.Workers[i]
		w.Crash()
		time.AfterFunc(back, w.Restart)
		time.AfterFunc(cut, func() { setModeFor(r.proxies[i], mode, duration) })
	}
	target := fmt.Sprintf("workers %v back after %v, cut after %v mode %d for %v", workers, back, cut, mode, duration)
	if rng.IntN(3) == 0 {
		v, kill := r.randomVM(rng), between(rng, back, cut)
		time.AfterFunc(kill, func() { v.sendSignal(syscall.SIGKILL, duration/4) })
		target += fmt.Sprintf(", %s killed after %v", v.name, kill)
	}
	return target
}

// between returns a random time in whole milliseconds.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return (least + time.Duration(rng.Int64N(int64(most-least)))).Truncate(time.Millisecond)
}
