package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"filbertcross/platform/standin"
)

// fault is a kind of fault. inject starts it, schedules its end after the duration and
// returns its target for the output.
type fault struct {
	name   string
	inject func(r *soakRun, rng *rand.Rand, duration time.Duration) string
}

func (r *soakRun) randomVM(rng *rand.Rand) *vm { return r.vms[rng.IntN(len(r.vms))] }

func (r *soakRun) randomWorker(rng *rand.Rand) (int, *standin.Worker) {
	i := rng.IntN(len(r.platform.Workers))
	return i, r.platform.Workers[i]
}

// setModeFor sets the mode of a proxy and resets it to Pass after the duration.
func setModeFor(p *Proxy, m ProxyMode, duration time.Duration) {
	p.SetMode(m)
	time.AfterFunc(duration, func() { p.SetMode(Pass) })
}

// injectStoreFault sets the faults of the store and clears them after the duration.
func (r *soakRun) injectStoreFault(f standin.Faults, duration time.Duration) string {
	r.platform.Store.SetFaults(f)
	time.AfterFunc(duration, func() { r.platform.Store.SetFaults(standin.Faults{}) })
	return "store"
}

// maxKillAfterOutage is how long after an outage of the store a VM is killed at the latest.
const maxKillAfterOutage = time.Second

var faults = []fault{
	{"kill", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		v := r.randomVM(rng)
		v.sendSignal(syscall.SIGKILL, d/2)
		return v.name
	}},
	{"kill-all", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		for _, v := range r.vms {
			v.sendSignal(syscall.SIGKILL, d/4)
		}
		return "all VMs"
	}},
	{"stop", func(r *soakRun, rng *rand.Rand, _ time.Duration) string {
		v := r.randomVM(rng)
		v.sendSignal(syscall.SIGTERM, 0)
		return v.name
	}},
	{"pause", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		v := r.randomVM(rng)
		v.pause(d)
		return v.name
	}},
	{"hangup", func(r *soakRun, rng *rand.Rand, _ time.Duration) string {
		v := r.randomVM(rng)
		v.sendSignal(syscall.SIGHUP, 0)
		return v.name
	}},
	{"store-cut", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		v, modes := r.randomVM(rng), []ProxyMode{StallAll, StallResponses, StallRequests, Reset, DelayAll}
		m := modes[rng.IntN(len(modes))]
		setModeFor(v.storeProxy, m, d)
		return fmt.Sprint(v.name, " mode ", m)
	}},
	{"store-down", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		return r.injectStoreFault(standin.Faults{Unavailable: true}, d)
	}},
	{"store-silent", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		return r.injectStoreFault(standin.Faults{Unresponsive: true, LeasesExpire: rng.IntN(2) == 0}, d)
	}},
	{"store-down-kill", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		v := r.randomVM(rng)
		killAt := d + time.Duration(rng.Int64N(int64(maxKillAfterOutage)))
		time.AfterFunc(killAt, func() { v.sendSignal(syscall.SIGKILL, d/2) })
		return r.injectStoreFault(standin.Faults{Unavailable: true, LeasesExpire: true}, d)
	}},
	{"store-lossy", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		return r.injectStoreFault(standin.Faults{DropResponse: 0.3}, d)
	}},
	{"store-late", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		return r.injectStoreFault(standin.Faults{DelayWrite: 0.3}, d)
	}},
	{"store-slow", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		return r.injectStoreFault(standin.Faults{ResponseDelay: 200 * time.Millisecond}, d)
	}},
	{"store-forgets", func(r *soakRun, _ *rand.Rand, _ time.Duration) string {
		r.platform.Store.Compact()
		return "store"
	}},
	{"worker-crash", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		i, w := r.randomWorker(rng)
		w.Crash()
		time.AfterFunc(d, w.Restart)
		return fmt.Sprint("worker ", i)
	}},
	{"worker-shrinks", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		i, w := r.randomWorker(rng)
		w.SetCPU(int64(1000 * (4 + rng.IntN(12))))
		time.AfterFunc(d, func() { w.SetCPU(standin.WorkerCPU) })
		return fmt.Sprint("worker ", i)
	}},
	{"worker-cut", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		i, modes := rng.IntN(len(r.proxies)), []ProxyMode{StallAll, StallResponses, StallRequests, Reset}
		m := modes[rng.IntN(len(modes))]
		setModeFor(r.proxies[i], m, d)
		return fmt.Sprint("worker ", i, " mode ", m)
	}},
	{"orders-late", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		i, w := r.randomWorker(rng)
		w.SetDelayedCommands(0.3)
		time.AfterFunc(d, func() { w.SetDelayedCommands(0) })
		return fmt.Sprint("worker ", i)
	}},
	{"worker-drains", func(r *soakRun, rng *rand.Rand, d time.Duration) string {
		i, w := r.randomWorker(rng)
		w.SetDraining(true)
		time.AfterFunc(d, func() { w.SetDraining(false) })
		return fmt.Sprint("worker ", i)
	}},
	{"accounts", func(r *soakRun, _ *rand.Rand, _ time.Duration) string {
		return r.configure(1, r.changeAccounts)
	}},
	{"queue-dropped", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		time.AfterFunc(d, func() { r.configure(1, func() { r.platform.SetAdvisedQueue(true) }) })
		return r.configure(1, func() { r.platform.SetAdvisedQueue(false) })
	}},
	{"queue-dropped-kill", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		time.AfterFunc(d, func() { r.configure(1, func() { r.platform.SetAdvisedQueue(true) }) })
		time.AfterFunc(d/2, func() {
			for _, v := range r.vms {
				v.sendSignal(syscall.SIGKILL, 0)
			}
		})
		return r.configure(1, func() { r.platform.SetAdvisedQueue(false) })
	}},
	{"maintenance", func(r *soakRun, rng *rand.Rand, _ time.Duration) string {
		return fmt.Sprint("wave ", r.platform.RequestMaintenance(1+rng.IntN(len(r.platform.Workers)/2)))
	}},
	{"odd-entry", func(r *soakRun, rng *rand.Rand, _ time.Duration) string {
		n := rng.IntN(maxOddEntries)
		r.platform.PutOddEntry(n)
		return fmt.Sprint("entry ", n)
	}},
	{"flood", func(r *soakRun, _ *rand.Rand, d time.Duration) string {
		r.accounts.flood(d)
		return accountName(0)
	}},
	{"configuration", func(r *soakRun, _ *rand.Rand, _ time.Duration) string {
		return r.configure(3, func() { r.unusedQueues = int(r.version*queuesPerVersion) % maxUnusedQueues })
	}},
}

// maxOddEntries is the number of different odd entries.
const maxOddEntries = 9

// configure applies a change to the configuration and writes it as a version that is higher by step.
func (r *soakRun) configure(step int64, change func()) string {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.version += step
	change()
	r.platform.PutConfigurationWithQueues(r.version, r.unusedQueues)
	return fmt.Sprint("version ", r.version, " queues ", r.unusedQueues)
}
