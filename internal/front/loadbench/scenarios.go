package main

import (
	"fmt"
	"time"

	"filbertcross/internal/backend"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// settleTime is given to the VMs to own their slots and to hear of each other.
const settleTime = 1500 * time.Millisecond

// scenario is one row of the run's table.
type scenario struct {
	name    string
	options backend.Options
	direct  bool
	sources func(capacity float64) []*source
	during  func(c *cluster) // runs at the start of the measured time
	vms     int              // instead of the settings' number; 0: as set
}

// flooder is the branch whose own times are not watched.
const flooder = "flood"

// outcome is the row's figures.
type outcome struct {
	settings settings
	watched  *results
	inTime   int // over all sources
	notRun   int
	mayRun   int
	use      float64 // of the slots
	refused  int     // by the servers, as their slots were full
	peak     int     // most requests present at one server
	open     int     // most connections open to one server
	calls    float64 // between VMs for each answered request
	costly   float64 // of them between failure domains
}

const header = "scenario                       in time/s  not run/s  may run/s  median ms  p99 ms  added med  added p99  slot use  refused  peak  conns  calls  costly"

func (o outcome) row(name string) string {
	per := func(n int) float64 { return float64(n) / o.settings.measured.Seconds() }
	return fmt.Sprintf("%-28s %11.0f %10.0f %10.1f %10.1f %7.1f %10.2f %10.2f %8.1f%% %8d %5d %6d %6.2f %7.2f",
		name, per(o.inTime), per(o.notRun), per(o.mayRun),
		milliseconds(quantile(o.watched.answered, 50)), milliseconds(quantile(o.watched.answered, 99)),
		milliseconds(quantile(o.watched.added, 50)), milliseconds(quantile(o.watched.added, 99)),
		100*o.use, o.refused, o.peak, o.open, o.calls, o.costly)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// branches are the sheet in force: a flooder and others of the same share.
var branches = func() *model.Configuration {
	c := &model.Configuration{Revision: 1}
	for _, id := range []model.BranchID{"one", "two", "three", "four", flooder} {
		c.Branches = append(c.Branches, model.Branch{ID: id, Share: 1})
		c.Workloads = append(c.Workloads, model.Workload{Branch: id, ID: "check", Kind: model.KindInteractive, Service: service})
	}
	return c
}()

type inForce struct{ *model.Configuration }

// InForce returns the branches.
func (f inForce) InForce() *model.Configuration { return f.Configuration }

func (sc scenario) run(s settings) (outcome, error) {
	if sc.vms > 0 {
		s.vms = sc.vms
	}
	c := newCluster(s, sc.options, inForce{branches})
	defer c.close()
	time.Sleep(settleTime)
	send := throughVM(c)
	if sc.direct {
		send = direct(c)
	}
	sources := sc.sources(s.capacity())
	var busy time.Duration
	var calls, costly int64
	generate(s, send, sources, func() {
		calls, costly = c.calls.Load(), c.costly.Load()
		for _, b := range c.servers {
			b.resetCounts()
		}
		if sc.during != nil {
			go sc.during(c)
		}
		time.Sleep(s.measured)
		busy = c.busy()
	})
	o := outcome{settings: s, watched: newResults()}
	o.use = busy.Seconds() / (float64(s.servers*s.slots) * s.measured.Seconds())
	for _, src := range sources {
		if src.branch != flooder {
			o.watched.answered.Merge(src.results.answered)
			o.watched.added.Merge(src.results.added)
		}
		o.inTime += src.results.inTime
		o.notRun += src.results.notRun
		o.mayRun += src.results.mayRun
	}
	o.calls = float64(c.calls.Load()-calls) / float64(max(1, o.inTime))
	o.costly = float64(c.costly.Load()-costly) / float64(max(1, o.inTime))
	for _, b := range c.servers {
		o.refused += b.refused
		o.peak = max(o.peak, b.peak)
		o.open = max(o.open, b.mostOpen)
	}
	return o, nil
}

// busy is the slot time served so far.
func (c *cluster) busy() time.Duration {
	var busy time.Duration
	for _, b := range c.servers {
		b.mu.Lock()
		busy += b.busy
		b.mu.Unlock()
	}
	return busy
}

// load is one branch's arrivals at a part of the capacity.
func load(part float64) func(float64) []*source {
	return func(capacity float64) []*source {
		return []*source{{branch: "one", rate: part * capacity}}
	}
}

// skewed sends everything to one VM.
func skewed(part float64) func(float64) []*source {
	return func(capacity float64) []*source {
		return []*source{{branch: "one", rate: part * capacity, skewed: true}}
	}
}

// crowd is four branches at a tenth of the capacity each, beside a flood.
func crowd(flood float64) func(float64) []*source {
	return func(capacity float64) []*source {
		var sources []*source
		for _, id := range []string{"one", "two", "three", "four"} {
			sources = append(sources, &source{branch: id, rate: 0.1 * capacity})
		}
		return append(sources, &source{branch: flooder, rate: flood * capacity})
	}
}

func scenarios() []scenario {
	permits := backend.Options{Policy: backend.PolicyPermits}
	local := backend.Options{Policy: backend.PolicyLocal}
	shared := backend.Options{Policy: backend.PolicyLocal, LocalSlotLimit: 8}
	var all []scenario
	for _, part := range []float64{0.5, 0.9, 1, 1.5, 3} {
		name := fmt.Sprintf("load %3.0f%% ", 100*part)
		if part <= 1 {
			all = append(all, scenario{name: name + "direct", direct: true, sources: load(part)})
		}
		all = append(all,
			scenario{name: name + "permits", options: permits, sources: load(part)},
			scenario{name: name + "local, own part", options: local, sources: load(part)},
			scenario{name: name + "local, all slots", options: shared, sources: load(part)},
		)
	}
	return append(all,
		scenario{name: "one VM, 50%", options: permits, sources: load(0.5), vms: 1},
		scenario{name: "three VMs, 50%", options: permits, sources: load(0.5), vms: 3},
		scenario{name: "skewed 50% permits", options: permits, sources: skewed(0.5)},
		scenario{name: "skewed 50% local, own part", options: local, sources: skewed(0.5)},
		scenario{name: "skewed 50% local, all slots", options: shared, sources: skewed(0.5)},
		scenario{name: "flood: without", options: permits, sources: crowd(0.1)},
		scenario{name: "flood: 300%", options: permits, sources: crowd(3)},
		scenario{name: "stall: one server", options: permits, sources: load(0.5), during: stall},
		scenario{name: "change: VM leaves, permits", options: permits, sources: load(0.9), during: leave},
		scenario{name: "change: VM leaves, local", options: local, sources: load(0.9), during: leave},
	)
}

// stall freezes one server for half of the measured time.
func stall(c *cluster) {
	c.servers[0].stalled.Store(true)
	time.Sleep(c.settings.measured / 2)
	c.servers[0].stalled.Store(false)
}

// leave makes the last VM's servers change owners, and back.
func leave(c *cluster) {
	last := len(c.vms) - 1
	c.setState(last, membership.Leaving)
	time.Sleep(c.settings.measured / 2)
	c.setState(last, membership.Alive)
}
