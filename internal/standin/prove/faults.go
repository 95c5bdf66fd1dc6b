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

// faults injects one random fault after the other, often several at once.
type faults struct {
	cluster *cluster.Cluster
	checks  *cluster.Checks

	mu    sync.Mutex
	rng   *rand.Rand
	kinds map[string]int
	busy  map[string]bool // VMs and other things that a fault holds
}

func newFaults(c *cluster.Cluster, checks *cluster.Checks, rng *rand.Rand) *faults {
	return &faults{cluster: c, checks: checks, rng: rng, kinds: map[string]int{}, busy: map[string]bool{}}
}

// String lists the faults by kind.
func (f *faults) String() string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(f.kinds)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, f.kinds[kind]))
	}
	return strings.Join(parts, ", ")
}

// fault is one kind: it acts on what it names and undoes itself before it returns.
type fault struct {
	kind string
	on   func(f *faults) string // what it holds meanwhile
	do   func(f *faults, ctx context.Context, on string)
}

const (
	meanPause    = 700 * time.Millisecond // between the beginnings of two faults
	longestFault = 9 * time.Second        // more than twice the lease lead
)

var kinds = []fault{
	{"kill", aVM, (*faults).kill},
	{"freeze", aVM, (*faults).freeze},
	{"graceful-stop", aVM, (*faults).stop},
	{"cut-peer-toward", aVM, peerCut(cluster.DropRequests)},
	{"cut-peer-answers", aVM, peerCut(cluster.DropResponses)},
	{"cut-store-toward", aVM, storeCut(cluster.DropRequests)},
	{"cut-store-answers", aVM, storeCut(cluster.DropResponses)},
	{"store-down", theStore, storeFault(standin.FaultSettings{Down: true})},
	{"store-slow", theStore, storeFault(standin.FaultSettings{Delay: 300 * time.Millisecond})},
	{"store-loses-answers", theStore, storeFault(standin.FaultSettings{LoseResponse: 0.3})},
	{"list-down", theList, (*faults).listDown},
	{"worker-reboot", aWorker, (*faults).reboot},
	{"worker-cut", aWorker, workerFault(standin.FaultSettings{Down: true})},
	{"domain-lost", aDomain, (*faults).loseDomain},
	{"worker-loses-answers", aWorker, workerFault(standin.FaultSettings{LoseResponse: 0.4})},
	{"worker-slow", aWorker, workerFault(standin.FaultSettings{Delay: 400 * time.Millisecond})},
	{"backend-loses-answers", aBackend, backendFault(standin.FaultSettings{LoseResponse: 0.5})},
	{"backend-leaving", aBackend, (*faults).leave},
	{"backend-slow", aBackend, backendFault(standin.FaultSettings{Delay: 700 * time.Millisecond})},
}

func aVM(f *faults) string      { return f.cluster.VMs[f.rng.IntN(len(f.cluster.VMs))].Name }
func theStore(*faults) string   { return "store" }
func theList(*faults) string    { return "list" }
func aDomain(f *faults) string  { return f.cluster.VMs[f.rng.IntN(len(f.cluster.VMs))].FailureDomain }
func aWorker(f *faults) string  { return f.cluster.Workers[f.rng.IntN(len(f.cluster.Workers))] }
func aBackend(f *faults) string { return f.cluster.Backends[f.rng.IntN(len(f.cluster.Backends))] }

// run begins faults until the context ends and waits until all are undone.
func (f *faults) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		f.mu.Lock()
		kind := kinds[f.rng.IntN(len(kinds))]
		on := kind.on(f)
		pause := time.Duration(f.rng.ExpFloat64() * float64(meanPause))
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !f.hold(kind.kind, on) {
			continue
		}
		wait.Go(func() {
			defer f.free(on)
			kind.do(f, ctx, on)
		})
	}
}

func (f *faults) hold(kind, on string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[on] {
		return false
	}
	f.busy[on] = true
	f.kinds[kind]++
	return true
}

func (f *faults) free(on string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, on)
}

// last waits for the length of a fault; short ones are more frequent.
func (f *faults) last(ctx context.Context) {
	f.mu.Lock()
	x := f.rng.Float64()
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(x * x * float64(longestFault))):
	}
}

func (f *faults) vm(name string) *cluster.VM {
	for _, vm := range f.cluster.VMs {
		if vm.Name == name {
			return vm
		}
	}
	panic("no VM " + name)
}

func (f *faults) kill(ctx context.Context, on string) {
	vm := f.vm(on)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGKILL)
	f.last(ctx)
	f.restart(vm)
}

func (f *faults) restart(vm *cluster.VM) {
	if err := f.cluster.StartVM(vm); err != nil {
		f.checks.RecordFailure("a VM is started again", err.Error())
	}
}

func (f *faults) freeze(ctx context.Context, on string) {
	vm := f.vm(on)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGSTOP)
	f.last(ctx)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGCONT)
}

func (f *faults) stop(_ context.Context, on string) {
	vm := f.vm(on)
	f.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGTERM)
	code, ended := f.cluster.Processes.Wait(vm.ProcessName(), time.Minute)
	if !ended || code != 0 {
		f.checks.RecordFailure("a graceful stop ends with exit code 0", fmt.Sprintf("%s: ended %v, exit code %d", vm.ProcessName(), ended, code))
	}
	f.restart(vm)
}

func peerCut(cut cluster.DropMode) func(*faults, context.Context, string) {
	return func(f *faults, ctx context.Context, on string) {
		vm := f.vm(on)
		vm.PeerRelay.SetDropMode(cut)
		f.last(ctx)
		vm.PeerRelay.SetDropMode(cluster.DropNone)
	}
}

func storeCut(cut cluster.DropMode) func(*faults, context.Context, string) {
	return func(f *faults, ctx context.Context, on string) {
		vm := f.vm(on)
		vm.StoreRelay.SetDropMode(cut)
		f.last(ctx)
		vm.StoreRelay.SetDropMode(cluster.DropNone)
	}
}

// with sets a stand-in's faults for a while.
func (f *faults) with(ctx context.Context, url string, settings standin.FaultSettings) {
	if err := cluster.PutJSON(url+"/faults", settings); err != nil {
		f.checks.RecordFailure("a stand-in takes its faults", err.Error())
	}
	f.last(ctx)
	if err := cluster.PutJSON(url+"/faults", standin.FaultSettings{}); err != nil {
		f.checks.RecordFailure("a stand-in takes its faults", err.Error())
	}
}

func storeFault(settings standin.FaultSettings) func(*faults, context.Context, string) {
	return func(f *faults, ctx context.Context, _ string) { f.with(ctx, f.cluster.StoreURL, settings) }
}

func (f *faults) listDown(ctx context.Context, _ string) {
	f.with(ctx, f.cluster.ListURL, standin.FaultSettings{Down: true})
}

func workerFault(settings standin.FaultSettings) func(*faults, context.Context, string) {
	return func(f *faults, ctx context.Context, on string) { f.with(ctx, "http://"+on, settings) }
}

// loseDomain cuts all workers of a failure domain off, for longer than a job waits
// before it is handed over to another partition.
func (f *faults) loseDomain(ctx context.Context, domain string) {
	for _, settings := range []standin.FaultSettings{{Down: true}, {}} {
		for _, address := range f.cluster.WorkersOf(domain) {
			if err := cluster.PutJSON("http://"+address+"/faults", settings); err != nil {
				f.checks.RecordFailure("a stand-in takes its faults", err.Error())
			}
		}
		if !settings.Down {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(longestFault):
		}
	}
}

func backendFault(settings standin.FaultSettings) func(*faults, context.Context, string) {
	return workerFault(settings)
}

// leavingGrace is how long a backend server that the list shows as leaving may still
// get new work: the list's own lag, and the seconds that the promise allows.
const leavingGrace = time.Second + 3*time.Second

// leave lists a backend server as leaving, and compares what it ran after the grace.
func (f *faults) leave(ctx context.Context, on string) {
	if !f.hold("backend-leaving-seen", theList(f)) {
		return // VMs cannot know what the list does not tell
	}
	defer f.free(theList(f))
	index := slices.Index(f.cluster.Backends, on)
	f.list(index, true)
	defer f.list(index, false)
	before, ok := f.ran(ctx, on, leavingGrace)
	if !ok {
		return
	}
	after, ok := f.ran(ctx, on, leavingGrace)
	if ok && after != before {
		f.checks.RecordFailure("a leaving backend server gets no new work after 3 s", fmt.Sprintf("%s ran %d more", on, after-before))
	}
}

func (f *faults) list(index int, leaving bool) {
	if err := f.cluster.RegisterBackend(index, leaving); err != nil {
		f.checks.RecordFailure("the list takes a change", err.Error())
	}
}

// ran waits and returns what the backend server has run; false when the run ends first.
func (f *faults) ran(ctx context.Context, address string, wait time.Duration) (int64, bool) {
	select {
	case <-ctx.Done():
		return 0, false
	case <-time.After(wait):
	}
	var counts standin.BackendCounts
	err := cluster.GetJSON("http://"+address+"/counts", &counts)
	return counts.Ran, err == nil
}

func (f *faults) reboot(context.Context, string) {
	f.mu.Lock()
	address := aWorker(f)
	f.mu.Unlock()
	if err := cluster.PutJSON("http://"+address+"/reboot", struct{}{}); err != nil {
		f.checks.RecordFailure("a worker reboots", err.Error())
	}
}
