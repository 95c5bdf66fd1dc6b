package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertcross/internal/standin"
	"filbertcross/internal/standin/cluster"
)

// faultInjector injects random faults, often several at the same time.
type faultInjector struct {
	cluster *cluster.Cluster
	checks  *cluster.Checks

	mu             sync.Mutex
	rng            *rand.Rand
	injectedCounts map[string]int
	targetsInUse   map[string]bool // targets that a fault in progress affects
}

func newFaultInjector(c *cluster.Cluster, checks *cluster.Checks, rng *rand.Rand) *faultInjector {
	return &faultInjector{cluster: c, checks: checks, rng: rng, injectedCounts: map[string]int{}, targetsInUse: map[string]bool{}}
}

// String returns the number of injected faults by kind.
func (f *faultInjector) String() string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(f.injectedCounts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, f.injectedCounts[kind]))
	}
	return strings.Join(parts, ", ")
}

// faultKind is a kind of fault. inject applies the fault to the target and reverts it
// before it returns.
type faultKind struct {
	name       string
	pickTarget func(f *faultInjector) string // target that no other fault may affect meanwhile
	inject     func(f *faultInjector, ctx context.Context, target string)
}

const (
	meanFaultInterval = 700 * time.Millisecond // between the starts of two faults
	maxFaultDuration  = 9 * time.Second        // more than twice the lease lead
)

var faultKinds = []faultKind{
	{"kill", randomVM, (*faultInjector).killVM},
	{"freeze", randomVM, (*faultInjector).freezeVM},
	{"graceful-stop", randomVM, (*faultInjector).stopVM},
	{"cut-peer-toward", randomVM, dropPeerTraffic(cluster.DropRequests)},
	{"cut-peer-answers", randomVM, dropPeerTraffic(cluster.DropResponses)},
	{"cut-store-toward", randomVM, dropStoreTraffic(cluster.DropRequests)},
	{"cut-store-answers", randomVM, dropStoreTraffic(cluster.DropResponses)},
	{"store-down", storeTarget, storeSettings(standin.FaultSettings{Down: true})},
	{"store-slow", storeTarget, storeSettings(standin.FaultSettings{Delay: 300 * time.Millisecond})},
	{"store-loses-answers", storeTarget, storeSettings(standin.FaultSettings{LoseResponse: 0.3})},
	{"list-down", listTarget, (*faultInjector).failList},
	{"worker-reboot", randomWorker, (*faultInjector).rebootWorker},
	{"worker-cut", randomWorker, workerSettings(standin.FaultSettings{Down: true})},
	{"domain-lost", randomDomain, (*faultInjector).failDomain},
	{"worker-loses-answers", randomWorker, workerSettings(standin.FaultSettings{LoseResponse: 0.4})},
	{"worker-slow", randomWorker, workerSettings(standin.FaultSettings{Delay: 400 * time.Millisecond})},
	{"backend-loses-answers", randomBackend, backendSettings(standin.FaultSettings{LoseResponse: 0.5})},
	{"backend-leaving", randomBackend, (*faultInjector).listBackendAsLeaving},
	{"backend-slow", randomBackend, backendSettings(standin.FaultSettings{Delay: 700 * time.Millisecond})},
}

func randomVM(f *faultInjector) string  { return f.cluster.VMs[f.rng.IntN(len(f.cluster.VMs))].Name }
func storeTarget(*faultInjector) string { return "store" }
func listTarget(*faultInjector) string  { return "list" }
func randomDomain(f *faultInjector) string {
	return f.cluster.VMs[f.rng.IntN(len(f.cluster.VMs))].FailureDomain
}
func randomWorker(f *faultInjector) string {
	return f.cluster.Workers[f.rng.IntN(len(f.cluster.Workers))]
}
func randomBackend(f *faultInjector) string {
	return f.cluster.Backends[f.rng.IntN(len(f.cluster.Backends))]
}

// run injects faults until the context is canceled, then waits until all are reverted.
func (f *faultInjector) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		f.mu.Lock()
		kind := faultKinds[f.rng.IntN(len(faultKinds))]
		target := kind.pickTarget(f)
		pause := time.Duration(f.rng.ExpFloat64() * float64(meanFaultInterval))
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !f.acquireTarget(kind.name, target) {
			continue
		}
		wait.Go(func() {
			defer f.releaseTarget(target)
			kind.inject(f, ctx, target)
		})
	}
}

// acquireTarget reserves a target and counts the fault; false if the target is in use.
func (f *faultInjector) acquireTarget(kind, target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targetsInUse[target] {
		return false
	}
	f.targetsInUse[target] = true
	f.injectedCounts[kind]++
	return true
}

func (f *faultInjector) releaseTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.targetsInUse, target)
}

// waitFaultDuration waits for a random fault duration, with short ones more frequent, or
// until the context is canceled.
func (f *faultInjector) waitFaultDuration(ctx context.Context) {
	f.mu.Lock()
	fraction := f.rng.Float64()
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(fraction * fraction * float64(maxFaultDuration))):
	}
}

func (f *faultInjector) findVM(name string) *cluster.VM {
	for _, vm := range f.cluster.VMs {
		if vm.Name == name {
			return vm
		}
	}
	panic("no VM " + name)
}

func (f *faultInjector) killVM(ctx context.Context, target string) {
	vm := f.findVM(target)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGKILL)
	f.waitFaultDuration(ctx)
	f.restartVM(vm)
}

func (f *faultInjector) restartVM(vm *cluster.VM) {
	if err := f.cluster.StartVM(vm); err != nil {
		f.checks.RecordFailure("a VM is restarted", err.Error())
	}
}

func (f *faultInjector) freezeVM(ctx context.Context, target string) {
	vm := f.findVM(target)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGSTOP)
	f.waitFaultDuration(ctx)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGCONT)
}

func (f *faultInjector) stopVM(_ context.Context, target string) {
	vm := f.findVM(target)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGTERM)
	code, exited := f.cluster.Processes.Wait(vm.ProcessName(), time.Minute)
	if !exited || code != 0 {
		f.checks.RecordFailure("a graceful stop ends with exit code 0", fmt.Sprintf("%s: exited %v, exit code %d", vm.ProcessName(), exited, code))
	}
	f.restartVM(vm)
}

func dropPeerTraffic(mode cluster.DropMode) func(*faultInjector, context.Context, string) {
	return func(f *faultInjector, ctx context.Context, target string) {
		vm := f.findVM(target)
		vm.PeerRelay.SetDropMode(mode)
		f.waitFaultDuration(ctx)
		vm.PeerRelay.SetDropMode(cluster.DropNone)
	}
}

func dropStoreTraffic(mode cluster.DropMode) func(*faultInjector, context.Context, string) {
	return func(f *faultInjector, ctx context.Context, target string) {
		vm := f.findVM(target)
		vm.StoreRelay.SetDropMode(mode)
		f.waitFaultDuration(ctx)
		vm.StoreRelay.SetDropMode(cluster.DropNone)
	}
}

// applySettings sets a stand-in's fault settings for a random duration, then clears them.
func (f *faultInjector) applySettings(ctx context.Context, url string, settings standin.FaultSettings) {
	if err := cluster.PutJSON(url+"/faults", settings); err != nil {
		f.checks.RecordFailure("a stand-in accepts fault settings", err.Error())
	}
	f.waitFaultDuration(ctx)
	if err := cluster.PutJSON(url+"/faults", standin.FaultSettings{}); err != nil {
		f.checks.RecordFailure("a stand-in accepts fault settings", err.Error())
	}
}

func storeSettings(settings standin.FaultSettings) func(*faultInjector, context.Context, string) {
	return func(f *faultInjector, ctx context.Context, _ string) {
		f.applySettings(ctx, f.cluster.StoreURL, settings)
	}
}

func (f *faultInjector) failList(ctx context.Context, _ string) {
	f.applySettings(ctx, f.cluster.ListURL, standin.FaultSettings{Down: true})
}

func workerSettings(settings standin.FaultSettings) func(*faultInjector, context.Context, string) {
	return func(f *faultInjector, ctx context.Context, target string) {
		f.applySettings(ctx, "http://"+target, settings)
	}
}

// failDomain makes all workers of a failure domain unreachable for maxFaultDuration, which
// is longer than a job waits before it is handed over to another partition.
func (f *faultInjector) failDomain(ctx context.Context, domain string) {
	for _, settings := range []standin.FaultSettings{{Down: true}, {}} {
		for _, address := range f.cluster.WorkersOf(domain) {
			if err := cluster.PutJSON("http://"+address+"/faults", settings); err != nil {
				f.checks.RecordFailure("a stand-in accepts fault settings", err.Error())
			}
		}
		if !settings.Down {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(maxFaultDuration):
		}
	}
}

func backendSettings(settings standin.FaultSettings) func(*faultInjector, context.Context, string) {
	return workerSettings(settings)
}

// leavingGracePeriod is the time in which a backend server listed as leaving may still get
// new requests: 1 s lag of the list plus the 3 s that the service guarantee allows.
const leavingGracePeriod = time.Second + 3*time.Second

// listBackendAsLeaving lists a backend server as leaving and checks that it runs no new
// requests after the grace period. It also reserves the list, as VMs learn of the change
// only while the list is up.
func (f *faultInjector) listBackendAsLeaving(ctx context.Context, target string) {
	if !f.acquireTarget("backend-leaving-seen", listTarget(f)) {
		return
	}
	defer f.releaseTarget(listTarget(f))
	index := slices.Index(f.cluster.Backends, target)
	f.registerBackend(index, true)
	defer f.registerBackend(index, false)
	before, ok := f.requestsRunAfter(ctx, target, leavingGracePeriod)
	if !ok {
		return
	}
	after, ok := f.requestsRunAfter(ctx, target, leavingGracePeriod)
	if ok && after != before {
		f.checks.RecordFailure("a leaving backend server gets no new requests after 3 s", fmt.Sprintf("%s ran %d more requests", target, after-before))
	}
}

func (f *faultInjector) registerBackend(index int, leaving bool) {
	if err := f.cluster.RegisterBackend(index, leaving); err != nil {
		f.checks.RecordFailure("the VM list accepts a change", err.Error())
	}
}

// requestsRunAfter waits and returns the number of requests that the backend server has
// run; false if the context is canceled first or the server cannot be queried.
func (f *faultInjector) requestsRunAfter(ctx context.Context, address string, wait time.Duration) (int64, bool) {
	select {
	case <-ctx.Done():
		return 0, false
	case <-time.After(wait):
	}
	var counts standin.BackendCounts
	err := cluster.GetJSON("http://"+address+"/counts", &counts)
	return counts.Ran, err == nil
}

func (f *faultInjector) rebootWorker(_ context.Context, target string) {
	if err := cluster.PutJSON("http://"+target+"/reboot", struct{}{}); err != nil {
		f.checks.RecordFailure("a worker accepts a reboot", err.Error())
	}
}
