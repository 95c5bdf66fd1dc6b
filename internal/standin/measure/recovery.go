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
	pollInterval  = 10 * time.Millisecond
	keysPerSecond = 100
	settleTime    = 6 * time.Second // between a restart and the next kill
)

// recovery kills one VM after the other under load and prints how long the others
// took until every partition had an owner again and until requests were answered.
func recovery(ctx context.Context, bin string, vms, kills int) error {
	c, err := cluster.Start(ctx, cluster.Options{BinDir: bin, VMs: vms, WorkersPerDomain: 4, WorkerFlags: []string{"--default-runtime", "1s"}})
	if c != nil {
		defer c.Processes.KillAll()
	}
	if err != nil {
		return err
	}
	if err := ready(ctx, c); err != nil {
		return err
	}
	owners := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	checks := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	bookings := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	total := map[string]int{}
	for n := range kills {
		time.Sleep(settleTime)
		victim := c.VMs[1+n%(len(c.VMs)-1)] // the first VM is asked
		k := killOne(ctx, c, victim, n)
		record(owners, k.owners)
		record(checks, k.check)
		record(bookings, k.bookings)
		for v, count := range k.verdicts {
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

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Milliseconds(), 1))
}

// killed is what one kill cost.
type killed struct {
	owners, check, bookings time.Duration // since the kill
	verdicts                map[string]int
}

const watchTime = 8 * time.Second

func killOne(ctx context.Context, c *cluster.Cluster, victim *cluster.VM, n int) (k killed) {
	asked := c.VMs[0]
	before := partitions(ctx, asked, "")
	lost := ""
	for _, m := range members(asked) {
		if m.HTTPAddress == victim.HTTPAddress && m.State == membership.Alive {
			lost = string(m.ID)
		}
	}
	c.Processes.Signal(victim.ProcessName(), syscall.SIGKILL)
	begun := time.Now()
	var wait sync.WaitGroup
	wait.Go(func() { k.bookings, k.verdicts = book(asked, n, begun) })
	wait.Go(func() {
		for !checkDone(asked) {
			time.Sleep(pollInterval)
		}
		k.check = time.Since(begun)
	})
	for len(partitions(ctx, asked, lost)) < len(before) && time.Since(begun) < time.Minute {
		time.Sleep(pollInterval)
	}
	k.owners = time.Since(begun)
	wait.Wait()
	return k
}

func members(vm *cluster.VM) []membership.Member {
	var found []membership.Member
	_ = cluster.GetJSON(vm.URL()+"/v1/members", &found)
	return found
}

// partitions returns those that have an owner other than the lost VM.
func partitions(_ context.Context, vm *cluster.VM, lost string) map[model.PartitionID]bool {
	owned := map[model.PartitionID]bool{}
	for _, m := range members(vm) {
		if string(m.ID) == lost || m.State == membership.Dead {
			continue
		}
		for id := range m.Digest.Partitions {
			owned[id] = true
		}
	}
	return owned
}

func checkDone(vm *cluster.VM) bool {
	resp, err := http.Get(vm.URL() + "/v1/branches/load/services/zalibook/availability")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Header.Get("Filbertcross-Verdict") == "done"
}

// book sends bookings at a steady rate for a while and returns when the last one
// that was not done had been sent.
func book(vm *cluster.VM, n int, begun time.Time) (last time.Duration, verdicts map[string]int) {
	verdicts = map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := 0; time.Since(begun) < watchTime; i++ {
		sent := time.Since(begun)
		wait.Go(func() {
			v := bookOnce(vm, fmt.Sprintf("kill-%d-%d", n, i))
			mu.Lock()
			defer mu.Unlock()
			verdicts[v]++
			if v != "done" {
				last = max(last, sent)
			}
		})
		time.Sleep(time.Second / keysPerSecond)
	}
	wait.Wait()
	return last, verdicts
}

func bookOnce(vm *cluster.VM, key string) string {
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
