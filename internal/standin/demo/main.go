// Command demo starts the stand-ins and three VMs as processes on loopback,
// drives work through them under failures and checks what must hold. It exits
// non-zero if anything did not hold and leaves no process behind.
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

// demoTimeout ends a demo that hangs.
const demoTimeout = 3 * time.Minute

func main() {
	keep := flag.Bool("keep", false, "leave everything up and print commands to try")
	short := flag.Bool("short", false, "load for less time and judge nothing by the clock, for CI")
	binaries := flag.String("bin", "bin", "directory of the filbertcross and standin binaries")
	sheet := flag.String("sheet", "examples/demo.csv", "sheet to apply")
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
		d.checks.RecordFailure("the demo ran to its end", err.Error())
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
		d.checks.Record("no process is left behind", procs.RunningCount() == 0, fmt.Sprintf("%d alive", procs.RunningCount()))
		fmt.Println("logs are in", procs.LogDir)
	}
	d.checks.Print()
	if d.checks.Failed() {
		return 1
	}
	return 0
}
