package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/standin/cluster"
)

const (
	rollingRequestsPerSecond = 150
	stopTimeout              = 40 * time.Second // for one graceful stop
)

// measureRollingReplacement replaces the process of every VM, one at a time, under load
// and compares the verdicts that callers received with the backend servers' counts. It
// returns an error if the replacement interrupted a request.
func measureRollingReplacement(ctx context.Context, bin string, vms int, sheetFile string) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: bin, VMs: vms, WorkersPerDomain: 2})
	if c != nil {
		defer c.Processes.KillAll()
	}
	if err != nil {
		return err
	}
	csv, err := os.ReadFile(sheetFile)
	if err != nil {
		return err
	}
	if err := startVMs(ctx, c, csv); err != nil {
		return err
	}
	var urls []string
	for _, vm := range c.VMs {
		urls = append(urls, vm.URL())
	}
	load := cluster.NewLoad(urls)
	load.WatchReadiness(ctx)
	if err := cluster.WaitFor(ctx, "the load generator to find the VMs ready", load.AllReady); err != nil {
		return err
	}
	loadCtx, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		load.Run(loadCtx, rollingRequestsPerSecond, "rolling")
	}()
	startedAt := time.Now()
	replaceErr := replaceVMs(ctx, c, load)
	stop()
	<-finished
	if replaceErr != nil {
		return replaceErr
	}
	counts := load.TakeCounts()
	fmt.Printf("%d VMs replaced one after the other under %d requests a second in %v: %v\n", vms, rollingRequestsPerSecond, time.Since(startedAt).Round(time.Second), counts)
	ran, _, err := c.BookingRuns()
	if err != nil {
		return err
	}
	comparison := cluster.CompareBookings(load.BookingVerdicts(), ran)
	fmt.Printf("of %d bookings ran twice: %d; reported not run but ran: %d; reported done but did not run: %d\n", comparison.Total, comparison.RanTwice, comparison.RanDespiteNotRun, comparison.NotRunDespiteDone)
	if counts.NoResponse+counts.MayHaveRun+counts.Mismatched+comparison.RanTwice+comparison.RanDespiteNotRun+comparison.NotRunDespiteDone > 0 {
		return errors.New("rolling replacement interrupted or misreported requests")
	}
	return nil
}

// replaceVMs stops and restarts each VM and waits until all are ready before the next.
func replaceVMs(ctx context.Context, c *cluster.Cluster, load *cluster.Load) error {
	for _, vm := range c.VMs {
		c.Processes.Signal(vm.ProcessName(), syscall.SIGTERM)
		code, exited := c.Processes.Wait(vm.ProcessName(), stopTimeout)
		if !exited || code != 0 {
			return errors.Newf("graceful stop of %s: exited %v, exit code %d", vm.Name, exited, code)
		}
		if err := c.StartVM(vm); err != nil {
			return err
		}
		if err := cluster.WaitFor(ctx, vm.Name, load.AllReady); err != nil {
			return err
		}
	}
	return nil
}
