// Command prove runs real processes under random work and random faults, drawn
// from a seed, and compares what callers were told with the account that the
// stand-ins for workers and backend servers keep themselves. It prints the
// seed, the steps, the faults by kind and the violations, and exits non-zero if
// there is any.
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
	seed := flag.Uint64("seed", 1, "of the work and the faults")
	duration := flag.Duration("duration", 30*time.Second, "of the random part; settling comes after it")
	binaries := flag.String("bin", "bin", "directory of the filbertcross and standin binaries")
	sheet := flag.String("sheet", "examples/demo.csv", "first sheet")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if !runChecks(ctx, *seed, *duration, *binaries, *sheet) {
		os.Exit(1)
	}
}

// Settings of the VMs: short leases, so that faults often outlast them.
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
	r := newSession(c, checks, rand.New(rand.NewPCG(seed, 1)))
	if err := r.startVMs(ctx, sheet); err != nil {
		checks.RecordFailure("the VMs start", err.Error())
	} else {
		r.runWorkAndFaults(ctx, seed, duration)
		r.waitForCompletion(ctx)
		r.checkInvariants()
	}
	r.printReport()
	fmt.Println("logs are in", c.Processes.LogDir)
	return !checks.Failed()
}
