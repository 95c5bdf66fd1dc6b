package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"filbertcross/platform/standin"
)

// fault is one disruption; it ends by itself.
type fault struct {
	name string
	do   func(r *run, rng *rand.Rand, length time.Duration) string // returns whom it strikes
}

func (r *run) anyVM(rng *rand.Rand) *vm { return r.vms[rng.IntN(len(r.vms))] }

func (r *run) anyExecutor(rng *rand.Rand) (int, *standin.Worker) {
	i := rng.IntN(len(r.site.Workers))
	return i, r.site.Workers[i]
}

// cut sets a proxy's mode for a while.
func cut(p *Proxy, m ProxyMode, length time.Duration) {
	p.SetMode(m)
	time.AfterFunc(length, func() { p.SetMode(Pass) })
}

func (r *run) storeFault(f standin.Faults, length time.Duration) string {
	r.site.Store.SetFaults(f)
	time.AfterFunc(length, func() { r.site.Store.SetFaults(standin.Faults{}) })
	return "store"
}

var faults = []fault{
	{"kill", func(r *run, rng *rand.Rand, d time.Duration) string {
		v := r.anyVM(rng)
		v.signal(syscall.SIGKILL, d/2)
		return v.name
	}},
	{"kill-all", func(r *run, _ *rand.Rand, d time.Duration) string {
		for _, v := range r.vms {
			v.signal(syscall.SIGKILL, d/4)
		}
		return "all VMs"
	}},
	{"stop", func(r *run, rng *rand.Rand, _ time.Duration) string {
		v := r.anyVM(rng)
		v.signal(syscall.SIGTERM, 0)
		return v.name
	}},
	{"pause", func(r *run, rng *rand.Rand, d time.Duration) string {
		v := r.anyVM(rng)
		v.pause(d)
		return v.name
	}},
	{"hangup", func(r *run, rng *rand.Rand, _ time.Duration) string {
		v := r.anyVM(rng)
		v.signal(syscall.SIGHUP, 0)
		return v.name
	}},
	{"store-cut", func(r *run, rng *rand.Rand, d time.Duration) string {
		v, modes := r.anyVM(rng), []ProxyMode{StallAll, StallResponses, StallRequests, Reset, DelayAll}
		m := modes[rng.IntN(len(modes))]
		cut(v.store, m, d)
		return fmt.Sprint(v.name, " mode ", m)
	}},
	{"store-down", func(r *run, _ *rand.Rand, d time.Duration) string {
		return r.storeFault(standin.Faults{Unavailable: true}, d)
	}},
	{"store-silent", func(r *run, _ *rand.Rand, d time.Duration) string {
		return r.storeFault(standin.Faults{Unresponsive: true}, d)
	}},
	{"store-lossy", func(r *run, _ *rand.Rand, d time.Duration) string {
		return r.storeFault(standin.Faults{DropResponse: 0.3}, d)
	}},
	{"store-late", func(r *run, _ *rand.Rand, d time.Duration) string {
		return r.storeFault(standin.Faults{DelayWrite: 0.3}, d)
	}},
	{"store-slow", func(r *run, _ *rand.Rand, d time.Duration) string {
		return r.storeFault(standin.Faults{ResponseDelay: 200 * time.Millisecond}, d)
	}},
	{"store-forgets", func(r *run, _ *rand.Rand, _ time.Duration) string {
		r.site.Store.Compact()
		return "store"
	}},
	{"worker-crash", func(r *run, rng *rand.Rand, d time.Duration) string {
		i, e := r.anyExecutor(rng)
		e.Crash()
		time.AfterFunc(d, e.Restart)
		return fmt.Sprint("worker ", i)
	}},
	{"worker-cut", func(r *run, rng *rand.Rand, d time.Duration) string {
		i, modes := rng.IntN(len(r.proxies)), []ProxyMode{StallAll, StallResponses, StallRequests, Reset}
		m := modes[rng.IntN(len(modes))]
		cut(r.proxies[i], m, d)
		return fmt.Sprint("worker ", i, " mode ", m)
	}},
	{"orders-late", func(r *run, rng *rand.Rand, d time.Duration) string {
		i, e := r.anyExecutor(rng)
		e.SetDelayedCommands(0.3)
		time.AfterFunc(d, func() { e.SetDelayedCommands(0) })
		return fmt.Sprint("worker ", i)
	}},
	{"worker-drains", func(r *run, rng *rand.Rand, d time.Duration) string {
		i, e := r.anyExecutor(rng)
		e.SetDraining(true)
		time.AfterFunc(d, func() { e.SetDraining(false) })
		return fmt.Sprint("worker ", i)
	}},
	{"configuration", func(r *run, _ *rand.Rand, _ time.Duration) string {
		r.version += 3
		r.site.PutConfiguration(r.version)
		return fmt.Sprint("version ", r.version)
	}},
}
