// Command demo starts the stand-ins and three VMs as processes on loopback, runs
// requests and jobs on them while it injects failures, and checks the results. It
// exits with status 1 if a check failed, and leaves no process running.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// demoTimeout bounds the run if the cluster makes no progress.
const demoTimeout = 3 * time.Minute

func main() {
	keep := flag.Bool("keep", false, "keep the processes running and print commands to try")
	short := flag.Bool("short", false, "shorten the load phases and skip the checks that depend on timing, for CI")
	binaries := flag.String("bin", "bin", "directory of the filbertcross and standin binaries")
	sheet := flag.String("sheet", "examples/demo.csv", "file of the sheet to apply")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	demo := &demo{bin: *binaries, sheet: *sheet, short: *short}
	os.Exit(demo.runAndReport(ctx, *keep))
}

func (d *demo) runAndReport(ctx context.Context, keep bool) int {
	bounded, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	err := d.runSteps(bounded)
	if err != nil {
		d.checks.RecordFailure("the demo ran all its steps", err.Error())
	}
	if keep {
		d.printCommands()
		<-ctx.Done()
	}
	if err == nil && !keep {
		d.stopGracefully(bounded)
	}
	if d.cluster != nil {
		procs := d.cluster.Processes
		procs.KillAll()
		d.checks.Record("no process is left running", procs.RunningCount() == 0, fmt.Sprintf("%d running", procs.RunningCount()))
		fmt.Println("logs are in", procs.LogDir)
	}
	d.checks.Print()
	if d.checks.Failed() {
		return 1
	}
	return 0
}
