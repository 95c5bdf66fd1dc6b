// Command prove runs real processes under a random workload and random faults derived
// from a seed, and compares the responses that callers received with the records of
// the simulated workers and backend servers. It prints the seed, the number of steps,
// the faults by kind and the results of the checks, and exits with status 1 if a check
// failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"filbertcross/internal/standin/cluster"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the workload and the faults")
	duration := flag.Duration("duration", 30*time.Second, "duration of the workload and the faults, before the wait for completion")
	binaries := flag.String("bin", "bin", "directory of the filbertcross and standin binaries")
	sheet := flag.String("sheet", "examples/demo.csv", "file of the first sheet to apply")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if !runChecks(ctx, *seed, *duration, *binaries, *sheet) {
		os.Exit(1)
	}
}

// vmFlags sets short leases, so that faults often outlast them.
var vmFlags = []string{
	"--worker-interval", "250ms", "--lease-lead", "4s", "--drift-margin", "200ms",
	"--list-interval", "300ms", "--store-timeout", "500ms", "--worker-timeout", "500ms", "--drain-delay", "500ms",
}

var workerFlags = []string{"--default-runtime", "2s", "--runtime", "room-sync=0s", "--runtime", "timetable-rebuild=1s"}

const (
	vmCount          = 4
	workersPerDomain = 3
	loadPerSecond    = 60
)

// runChecks runs one session on a new cluster and reports whether all checks passed.
func runChecks(ctx context.Context, seed uint64, duration time.Duration, bin, sheet string) bool {
	fmt.Printf("seed %d, %v\n", seed, duration)
	checks := &cluster.Checks{}
	c, err := cluster.Start(ctx, cluster.Options{
		BinDir: bin, VMs: vmCount, WorkersPerDomain: workersPerDomain, UseRelays: true, VMFlags: vmFlags, WorkerFlags: workerFlags,
	})
	if c != nil {
		defer c.Processes.KillAll()
	}
	if err != nil {
		checks.RecordFailure("the stand-ins start", err.Error())
		checks.Print()
		return false
	}
	s := newSession(c, checks, rand.New(rand.NewPCG(seed, 1)))
	if err := s.startVMs(ctx, sheet); err != nil {
		checks.RecordFailure("the VMs start", err.Error())
	} else {
		s.runWorkAndFaults(ctx, seed, duration)
		s.waitForCompletion(ctx)
		s.checkInvariants()
	}
	s.printReport()
	fmt.Println("logs are in", c.Processes.LogDir)
	return !checks.Failed()
}
