package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/platform/standin"
)

// Options configure one soak.
type Options struct {
	Binary   string // path of filbertcross
	Dir      string // receives the settings files and logs
	Seed     uint64
	Duration time.Duration // of load and faults
	VMs      int
	Workers  int
	// RecutsOnly leaves out all other faults.
	RecutsOnly bool
	Out        io.Writer // receives one line per injected fault and a summary
}

// Timing of a soak.
const (
	meanFaultInterval = 1200 * time.Millisecond // shorter than meanFaultDuration, so that several faults overlap
	meanFaultDuration = 4 * time.Second
	settleTimeout     = 40 * time.Second // after the last fault, until every accepted submission must have its final state
	configurationTime = 6 * time.Second  // after the last fault, until the newest configuration must be active at every VM
)

// Sizes of configurations, and the link of a VM.
const (
	maxUnusedQueues  = 4000           // about the largest value of the store
	queuesPerVersion = 949            // successive versions grow and shrink
	slowLinkRate     = 10_000_000 / 8 // bytes per second from the store, as of a small VM
)

// soakRun is the state of one soak.
type soakRun struct {
	opts     Options
	platform *standin.Platform
	vms      []*vm
	proxies  []*Proxy // one in front of each worker
	client   *http.Client
	accounts accounts
	configMu sync.Mutex // held while the configuration is changed
	version  int64      // of the newest configuration; like unusedQueues, read only after the last fault
	// unusedQueues is the number of queues of that configuration that receive no submissions.
	unusedQueues int
}

// Run runs one soak and returns the violations found. The error reports a soak that could not
// be run.
func Run(ctx context.Context, opts Options) ([]string, error) {
	platform, err := standin.NewPlatform(opts.Workers, opts.Seed)
	if err != nil {
		return nil, err
	}
	defer platform.Close()
	r := &soakRun{opts: opts, platform: platform, version: 1, client: &http.Client{}}
	r.changeAccounts()
	platform.PutConfiguration(r.version)
	for _, w := range platform.Workers {
		proxy, err := NewProxy(w.Address())
		if err != nil {
			return nil, err
		}
		defer proxy.Close()
		w.SetAdvertisedAddress(proxy.Address())
		r.proxies = append(r.proxies, proxy)
	}
	processes, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		stop()
		for _, v := range r.vms {
			v.sendSignal(syscall.SIGCONT, 0)
			v.sendSignal(syscall.SIGKILL, 0)
		}
		running.Wait()
	}()
	for i := range opts.VMs {
		v, err := newVM(platform, opts.Binary, opts.Dir, opts.Seed, i)
		if err != nil {
			return nil, err
		}
		v.storeProxy.limitResponses(slowLinkRate)
		r.vms = append(r.vms, v)
		running.Go(func() { v.keepRunning(processes) })
	}
	time.Sleep(2 * time.Second)
	accepted := r.runLoadAndFaults(ctx)
	r.awaitFinalStates(ctx, accepted)
	r.checkConfigurations(ctx)
	r.checkKeys(ctx)
	r.platform.CheckMaintenance()
	for _, v := range r.vms {
		if v.unexpectedExits > 0 {
			platform.Checker.AddViolation("%s exited unexpectedly %d times, see %s", v.name, v.unexpectedExits, v.logFile.Name())
		}
	}
	violations, starts := platform.Checker.Violations()
	_, err = fmt.Fprintf(opts.Out, "seed %d: %d submissions accepted, %d starts, %d violations found\n", opts.Seed, len(accepted), starts, len(violations))
	return violations, errors.Wrap(err, "write")
}

// runLoadAndFaults submits load while faults are injected and returns the accepted submissions.
func (r *soakRun) runLoadAndFaults(ctx context.Context) []*submission {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 1))
	end := time.Now().Add(r.opts.Duration)
	if !r.opts.RecutsOnly {
		go r.injectFaults(ctx, rand.New(rand.NewPCG(r.opts.Seed, 2)), end)
		go r.injectCrowds(ctx, rand.New(rand.NewPCG(r.opts.Seed, 5)), end)
	}
	go r.injectRecuts(ctx, rand.New(rand.NewPCG(r.opts.Seed, 6)), end)
	var mu sync.Mutex
	var accepted []*submission
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		callerRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
		callers.Go(func() {
			if s := r.submit(ctx, callerRNG, n); s != nil {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, s)
			}
		})
		if r.accounts.flooding() {
			time.Sleep(floodInterval)
		} else {
			time.Sleep(submitInterval)
		}
	}
	callers.Wait()
	return accepted
}

// injectFaults injects random faults until end and prints each.
func (r *soakRun) injectFaults(ctx context.Context, rng *rand.Rand, end time.Time) {
	start := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)))
		if time.Now().After(end) {
			return
		}
		f := faults[rng.IntN(len(faults))]
		duration := min(time.Duration(rng.ExpFloat64()*float64(meanFaultDuration)), 3*meanFaultDuration)
		target := f.inject(r, rng, duration)
		_, _ = fmt.Fprintf(r.opts.Out, "%8.3f %s %s for %v\n", time.Since(start).Seconds(), f.name, target, duration.Round(time.Millisecond))
	}
}

// awaitFinalStates waits until every accepted submission has its final state; one that has
// none after settleTimeout is a violation.
func (r *soakRun) awaitFinalStates(ctx context.Context, pending []*submission) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 4))
	time.Sleep(3 * meanFaultDuration) // until the last faults have ended
	deadline := time.Now().Add(settleTimeout)
	for len(pending) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		var remaining []*submission
		for _, s := range pending {
			if !r.checkFinalState(ctx, rng, s) {
				remaining = append(remaining, s)
			}
		}
		pending = remaining
		time.Sleep(100 * time.Millisecond)
	}
	for _, s := range pending {
		r.platform.Checker.AddViolation("LOST: %s (%s) has no final state %v after the last fault", s.id, s.spec, settleTimeout)
	}
}
