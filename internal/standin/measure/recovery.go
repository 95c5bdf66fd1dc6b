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
	restartSettleTime = 6 * time.Second // between a restart and the next kill
)

// recovery kills one VM after the other under load and prints how long the others
// took until every partition had an owner again and until requests were answered.
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
		victim := c.VMs[1+n%(len(c.VMs)-1)] // the first VM is asked
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
	fmt.Printf("%d kills of one VM of %d, milliseconds (median, longest):\n", kills, vms)
	fmt.Printf("  until every partition had an owner again: %d, %d\n", owners.ValueAtQuantile(50), owners.Max())
	fmt.Printf("  until a check was answered by another VM: %d, %d\n", checks.ValueAtQuantile(50), checks.Max())
	fmt.Printf("  until the last booking refused meanwhile had been followed by done ones only: %d, %d\n", bookings.ValueAtQuantile(50), bookings.Max())
	fmt.Printf("  bookings sent through the other VMs in the 8 s after a kill, by verdict: %v\n", total)
	return nil
}

func recordMillis(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Milliseconds(), 1))
}

// killed is what one kill cost.
type recoveryTimes struct {
	untilOwned, untilCheck, untilBookings time.Duration // since the kill
	verdicts                              map[string]int
}

const bookingDuration = 8 * time.Second

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

// partitions returns those that have an owner other than the lost VM.
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

// book sends bookings at a steady rate for a while and returns when the last one
// that was not done had been sent.
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
