package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/standin/cluster"
)

const (
	pollInterval      = 10 * time.Millisecond
	bookingsPerSecond = 100
	restartSettleTime = 6 * time.Second // wait between a restart and the next kill
)

// measureRecovery kills VMs under load, one at a time, and prints the time until every
// partition has an owner again and until requests succeed on another VM.
func measureRecovery(ctx context.Context, bin string, vms, kills int) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: bin, VMs: vms, WorkersPerDomain: 4, WorkerFlags: []string{"--default-runtime", "1s"}})
	if c != nil {
		defer c.Processes.KillAll()
	}
	if err != nil {
		return err
	}
	if err := startVMsWithLoadSheet(ctx, c); err != nil {
		return err
	}
	owners := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	checks := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	bookings := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	total := map[string]int{}
	for n := range kills {
		time.Sleep(restartSettleTime)
		victim := c.VMs[1+n%(len(c.VMs)-1)] // the first VM is the observer
		times := killAndMeasure(ctx, c, victim, n)
		recordMillis(owners, times.untilOwned)
		recordMillis(checks, times.untilCheck)
		recordMillis(bookings, times.untilBookings)
		for v, count := range times.verdicts {
			total[v] += count
		}
		if err := c.StartVM(victim); err != nil {
			return err
		}
	}
	fmt.Printf("%d kills of one VM out of %d, milliseconds (median, maximum):\n", kills, vms)
	fmt.Printf("  until every partition had an owner again: %d, %d\n", owners.ValueAtQuantile(50), owners.Max())
	fmt.Printf("  until an availability check succeeded on another VM: %d, %d\n", checks.ValueAtQuantile(50), checks.Max())
	fmt.Printf("  until the send time of the last booking whose verdict was not done: %d, %d\n", bookings.ValueAtQuantile(50), bookings.Max())
	fmt.Printf("  bookings sent through another VM in the 8 s after a kill, by verdict: %v\n", total)
	return nil
}

func recordMillis(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Milliseconds(), 1))
}

// recoveryTimes holds the times since one kill, and the bookings sent after it by verdict.
type recoveryTimes struct {
	untilOwned, untilCheck, untilBookings time.Duration
	verdicts                              map[string]int
}

const bookingDuration = 8 * time.Second

// killAndMeasure kills the victim and observes the recovery through the first VM.
func killAndMeasure(ctx context.Context, c *cluster.Cluster, victim *cluster.VM, n int) (times recoveryTimes) {
	observer := c.VMs[0]
	before := ownedPartitions(ctx, observer, "")
	victimID := ""
	for _, m := range listMembers(observer) {
		if m.HTTPAddress == victim.HTTPAddress && m.State == membership.Alive {
			victimID = string(m.ID)
		}
	}
	c.Processes.Signal(victim.ProcessName(), syscall.SIGKILL)
	killedAt := time.Now()
	var wait sync.WaitGroup
	wait.Go(func() { times.untilBookings, times.verdicts = sendBookings(observer, n, killedAt) })
	wait.Go(func() {
		for !checkSucceeds(observer) {
			time.Sleep(pollInterval)
		}
		times.untilCheck = time.Since(killedAt)
	})
	for len(ownedPartitions(ctx, observer, victimID)) < len(before) && time.Since(killedAt) < time.Minute {
		time.Sleep(pollInterval)
	}
	times.untilOwned = time.Since(killedAt)
	wait.Wait()
	return times
}

func listMembers(vm *cluster.VM) []membership.Member {
	var found []membership.Member
	_ = cluster.GetJSON(vm.URL()+"/v1/members", &found)
	return found
}

// ownedPartitions returns the partitions that a VM other than excludedID owns, as the
// given VM sees it.
func ownedPartitions(_ context.Context, vm *cluster.VM, excludedID string) map[model.PartitionID]bool {
	owned := map[model.PartitionID]bool{}
	for _, m := range listMembers(vm) {
		if string(m.ID) == excludedID || m.State == membership.Dead {
			continue
		}
		for id := range m.Digest.Partitions {
			owned[id] = true
		}
	}
	return owned
}

func checkSucceeds(vm *cluster.VM) bool {
	resp, err := http.Get(vm.URL() + "/v1/branches/load/services/zalibook/availability")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Header.Get("Filbertcross-Verdict") == "done"
}

// sendBookings sends bookings at a constant rate for bookingDuration. It returns the
// send time, relative to the kill, of the last booking whose verdict was not done.
func sendBookings(vm *cluster.VM, n int, killedAt time.Time) (lastFailed time.Duration, verdicts map[string]int) {
	verdicts = map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := 0; time.Since(killedAt) < bookingDuration; i++ {
		sent := time.Since(killedAt)
		wait.Go(func() {
			v := sendBooking(vm, fmt.Sprintf("kill-%d-%d", n, i))
			mu.Lock()
			defer mu.Unlock()
			verdicts[v]++
			if v != "done" {
				lastFailed = max(lastFailed, sent)
			}
		})
		time.Sleep(time.Second / bookingsPerSecond)
	}
	wait.Wait()
	return lastFailed, verdicts
}

func sendBooking(vm *cluster.VM, key string) string {
	req, err := http.NewRequest(http.MethodPost, vm.URL()+"/v1/branches/load/services/zalibook/bookings?booking="+key, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	return resp.Header.Get("Filbertcross-Verdict")
}
