package main

import (
	"fmt"
	"time"

	"filbertcross/internal/backend"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// settleTime is how long the VMs get to take ownership of slots and to receive each
// other's digests before the load starts.
const settleTime = 1500 * time.Millisecond

// scenario describes one row of the results table.
type scenario struct {
	name              string
	options           backend.Options
	direct            bool // bypasses the VMs
	sources           func(capacity float64) []*source
	duringMeasurement func(c *cluster) // runs concurrently from the start of the measured time
	vms               int              // overrides the settings if not 0
}

// floodBranch is the branch whose response times are not reported.
const floodBranch = "flood"

// outcome holds the measurements of one scenario.
type outcome struct {
	settings         settings
	latency          *results
	inTime           int // over all sources, as are notRun and mayHaveRun
	notRun           int
	mayHaveRun       int
	slotUse          float64 // fraction of the slot time that was used
	refused          int     // by the servers because all slots were in use
	peakRequests     int     // at one server, refused requests included
	peakConnections  int     // open at one server
	peerCalls        float64 // between VMs for each response in time
	crossDomainCalls float64 // part of peerCalls between failure domains
}

const tableHeader = "scenario                       in time/s  not run/s  may run/s  median ms  p99 ms  added med  added p99  slot use  refused  peak  conns  calls  costly"

func (o outcome) tableRow(name string) string {
	per := func(n int) float64 { return float64(n) / o.settings.measured.Seconds() }
	return fmt.Sprintf("%-28s %11.0f %10.0f %10.1f %10.1f %7.1f %10.2f %10.2f %8.1f%% %8d %5d %6d %6.2f %7.2f",
		name, per(o.inTime), per(o.notRun), per(o.mayHaveRun),
		milliseconds(quantile(o.latency.responseTimes, 50)), milliseconds(quantile(o.latency.responseTimes, 99)),
		milliseconds(quantile(o.latency.addedTimes, 50)), milliseconds(quantile(o.latency.addedTimes, 99)),
		100*o.slotUse, o.refused, o.peakRequests, o.peakConnections, o.peerCalls, o.crossDomainCalls)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// branchConfiguration is the active configuration: the flood branch and four others,
// all with the same share.
var branchConfiguration = func() *model.Configuration {
	c := &model.Configuration{Revision: 1}
	for _, id := range []model.BranchID{"one", "two", "three", "four", floodBranch} {
		c.Branches = append(c.Branches, model.Branch{ID: id, Share: 1})
		c.Workloads = append(c.Workloads, model.Workload{Branch: id, ID: "check", Kind: model.KindInteractive, Service: service})
	}
	return c
}()

// fixedConfiguration is a model.ConfigurationSource whose active configuration never
// changes.
type fixedConfiguration struct{ *model.Configuration }

// Active returns the configuration.
func (f fixedConfiguration) Active() *model.Configuration { return f.Configuration }

// run runs the scenario on a new cluster.
func (sc scenario) run(s settings) (outcome, error) {
	if sc.vms > 0 {
		s.vms = sc.vms
	}
	c := newCluster(s, sc.options, fixedConfiguration{branchConfiguration})
	defer c.close()
	time.Sleep(settleTime)
	send := sendThroughVM(c)
	if sc.direct {
		send = sendDirect(c)
	}
	sources := sc.sources(s.capacity())
	var slotTime time.Duration
	var peerCalls, crossDomainCalls int64
	generate(s, send, sources, func() {
		peerCalls, crossDomainCalls = c.peerCalls.Load(), c.crossDomainCalls.Load()
		for _, b := range c.servers {
			b.resetCounts()
		}
		if sc.duringMeasurement != nil {
			go sc.duringMeasurement(c)
		}
		time.Sleep(s.measured)
		slotTime = c.slotTimeServed()
	})
	o := outcome{settings: s, latency: newResults()}
	o.slotUse = slotTime.Seconds() / (float64(s.servers*s.slots) * s.measured.Seconds())
	for _, src := range sources {
		if src.branch != floodBranch {
			o.latency.responseTimes.Merge(src.results.responseTimes)
			o.latency.addedTimes.Merge(src.results.addedTimes)
		}
		o.inTime += src.results.inTime
		o.notRun += src.results.notRun
		o.mayHaveRun += src.results.mayHaveRun
	}
	o.peerCalls = float64(c.peerCalls.Load()-peerCalls) / float64(max(1, o.inTime))
	o.crossDomainCalls = float64(c.crossDomainCalls.Load()-crossDomainCalls) / float64(max(1, o.inTime))
	for _, b := range c.servers {
		o.refused += b.refused
		o.peakRequests = max(o.peakRequests, b.peakRequests)
		o.peakConnections = max(o.peakConnections, b.peakConnections)
	}
	return o, nil
}

// slotTimeServed returns the slot time served since the last reset of the counts.
func (c *cluster) slotTimeServed() time.Duration {
	var slotTime time.Duration
	for _, b := range c.servers {
		b.mu.Lock()
		slotTime += b.slotTimeServed
		b.mu.Unlock()
	}
	return slotTime
}

// steadyLoad returns the source of one branch at a fraction of the capacity.
func steadyLoad(fraction float64) func(float64) []*source {
	return func(capacity float64) []*source {
		return []*source{{branch: "one", rate: fraction * capacity}}
	}
}

// skewedLoad is steadyLoad with all requests sent to one VM.
func skewedLoad(fraction float64) func(float64) []*source {
	return func(capacity float64) []*source {
		return []*source{{branch: "one", rate: fraction * capacity, skewed: true}}
	}
}

// floodLoad returns four branches at a tenth of the capacity each, and the flood
// branch at the given fraction of the capacity.
func floodLoad(flood float64) func(float64) []*source {
	return func(capacity float64) []*source {
		var sources []*source
		for _, id := range []string{"one", "two", "three", "four"} {
			sources = append(sources, &source{branch: id, rate: 0.1 * capacity})
		}
		return append(sources, &source{branch: floodBranch, rate: flood * capacity})
	}
}

func scenarios() []scenario {
	permits := backend.Options{Policy: backend.PolicyPermits}
	local := backend.Options{Policy: backend.PolicyLocal}
	shared := backend.Options{Policy: backend.PolicyLocal, LocalSlotLimit: 8}
	var all []scenario
	for _, fraction := range []float64{0.5, 0.9, 1, 1.5, 3} {
		name := fmt.Sprintf("load %3.0f%% ", 100*fraction)
		if fraction <= 1 {
			all = append(all, scenario{name: name + "direct", direct: true, sources: steadyLoad(fraction)})
		}
		all = append(all,
			scenario{name: name + "permits", options: permits, sources: steadyLoad(fraction)},
			scenario{name: name + "local, own part", options: local, sources: steadyLoad(fraction)},
			scenario{name: name + "local, all slots", options: shared, sources: steadyLoad(fraction)},
		)
	}
	return append(all,
		scenario{name: "one VM, 50%", options: permits, sources: steadyLoad(0.5), vms: 1},
		scenario{name: "three VMs, 50%", options: permits, sources: steadyLoad(0.5), vms: 3},
		scenario{name: "skewed 50% permits", options: permits, sources: skewedLoad(0.5)},
		scenario{name: "skewed 50% local, own part", options: local, sources: skewedLoad(0.5)},
		scenario{name: "skewed 50% local, all slots", options: shared, sources: skewedLoad(0.5)},
		scenario{name: "flood: without", options: permits, sources: floodLoad(0.1)},
		scenario{name: "flood: 300%", options: permits, sources: floodLoad(3)},
		scenario{name: "stall: one server", options: permits, sources: steadyLoad(0.5), duringMeasurement: stallServer},
		scenario{name: "change: VM leaves, permits", options: permits, sources: steadyLoad(0.9), duringMeasurement: leaveVM},
		scenario{name: "change: VM leaves, local", options: local, sources: steadyLoad(0.9), duringMeasurement: leaveVM},
	)
}

// stallServer makes one server hold its responses for half of the measured time.
func stallServer(c *cluster) {
	c.servers[0].stalled.Store(true)
	time.Sleep(c.settings.measured / 2)
	c.servers[0].stalled.Store(false)
}

// leaveVM marks the last VM as leaving for half of the measured time, so that the
// servers that it owns change owners and then change back.
func leaveVM(c *cluster) {
	last := len(c.vms) - 1
	c.setState(last, membership.Leaving)
	time.Sleep(c.settings.measured / 2)
	c.setState(last, membership.Alive)
}
