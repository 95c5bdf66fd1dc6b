package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

const (
	testInterval = 300 * time.Millisecond
	testTick     = testInterval / ticksPerInterval
	testVMs      = 4
	maxDelay     = 5 * testTick // one-way delay up to which a link counts as good
	// maxProbeLinkDelay is the same for the links of an indirect probe, whose four hops
	// must complete within the probe's timeout.
	maxProbeLinkDelay = probeTimeoutIntervals * testInterval / 6

	convergenceTime      = 60 * testInterval                                                                // until all pairs with good links see each other alive
	maxDeadDetectionTime = (maxDeadIntervals + 2*probeTimeoutIntervals + probeIntervals + 2) * testInterval // until a silent VM is dead
	killDetectionTime    = 6 * testInterval                                                                 // the same for a killed VM if all others are healthy
	pauseDetectionTime   = (deadIntervals + 2) * testInterval                                               // the same for a paused VM
)

// testHost is one address and the process that runs there.
type testHost struct {
	detector    *detector
	incarnation int
	up          bool
	paused      bool
	stateSince  time.Duration // last change of up or paused
	startedAt   time.Duration
}

// link is one direction of the connection between two hosts.
type link struct {
	cut       bool
	delay     time.Duration
	changedAt time.Duration
}

// testNetwork simulates a network of detectors with a simulated clock. Its own state is
// the oracle.
type testNetwork struct {
	t            interface{ Fatalf(string, ...any) }
	now          time.Duration
	hosts        [testVMs]*testHost
	links        [testVMs][testVMs]*link
	queue        []delivery
	replacedSeen map[string]bool // by observer and replaced process
}

type delivery struct {
	at          time.Duration
	target      int
	incarnation int // of the target's process that it is addressed to; 0: any
	deliver     func()
}

func address(i int) string { return fmt.Sprint("vm-", i) }

func newTestNetwork(t interface{ Fatalf(string, ...any) }) *testNetwork {
	tn := &testNetwork{t: t, now: time.Hour, replacedSeen: map[string]bool{}}
	for i := range testVMs {
		tn.hosts[i] = &testHost{}
		for j := range testVMs {
			tn.links[i][j] = &link{changedAt: tn.now}
		}
	}
	for i := range testVMs {
		tn.start(i)
	}
	return tn
}

func (tn *testNetwork) start(i int) {
	h := tn.hosts[i]
	h.incarnation++
	h.up, h.paused, h.stateSince, h.startedAt = true, false, tn.now, tn.now
	selfIdentity := identity{ID: model.VMID(fmt.Sprint(address(i), "-", h.incarnation)), Address: address(i), Incarnation: event.Stamp(h.incarnation)}
	h.detector = newDetector(selfIdentity, testInterval, rand.New(rand.NewPCG(uint64(i), uint64(h.incarnation))))
	listed := map[string]bool{}
	for j := range testVMs {
		listed[address(j)] = false
	}
	h.detector.setListed(tn.now, listed)
}

// send queues a message from one host to another. On delivery it calls arrive, or refuse
// if no process listens there; a lost message calls neither.
func (tn *testNetwork) send(from, to int, arrive, refuse func()) {
	l := tn.links[from][to]
	if l.cut {
		return
	}
	tn.queue = append(tn.queue, delivery{at: tn.now + l.delay, target: to, deliver: func() {
		if tn.hosts[to].up {
			arrive()
		} else {
			refuse()
		}
	}})
}

// exchange makes a heartbeat call. done receives whether the target responded or refused the
// connection; it is not called if a message was lost.
func (tn *testNetwork) exchange(from, to int, done func(responded, refused bool)) {
	caller, process := tn.hosts[from], tn.hosts[from].incarnation
	selfIdentity, peerSilent := caller.detector.self, caller.detector.peerSilent(tn.now, address(to))
	back := func(run func()) {
		if l := tn.links[to][from]; !l.cut {
			tn.queue = append(tn.queue, delivery{at: tn.now + l.delay, target: from, incarnation: process, deliver: run})
		}
	}
	tn.send(from, to, func() {
		server := tn.hosts[to].detector
		server.recordHeartbeat(tn.now, selfIdentity, false, peerSilent)
		peerIdentity, reportsSilence := server.self, server.peerSilent(tn.now, address(from))
		back(func() {
			caller.detector.recordHeartbeat(tn.now, peerIdentity, false, reportsSilence)
			done(true, false)
		})
	}, func() {
		back(func() {
			caller.detector.recordFailure(tn.now, address(to), true)
			done(false, true)
		})
	})
}

func (tn *testNetwork) startCall(from int, c outboundCall) {
	target := func(a string) (i int) {
		fmt.Sscanf(a, "vm-%d", &i)
		return i
	}
	if c.probeTarget == "" {
		tn.exchange(from, target(c.address), func(bool, bool) {})
		return
	}
	caller, process, sentAt, helper := tn.hosts[from], tn.hosts[from].incarnation, tn.now, target(c.address)
	completed := false
	complete := func(reached, refused bool) {
		if !completed {
			completed = true
			caller.detector.recordProbe(tn.now, sentAt, c.probeTarget, reached, refused)
		}
	}
	tn.send(from, helper, func() {
		tn.exchange(helper, target(c.probeTarget), func(responded, refused bool) {
			tn.send(helper, from, func() { complete(responded, refused) }, func() {})
		})
	}, func() {})
	tn.queue = append(tn.queue, delivery{at: tn.now + caller.detector.timeout(c) + testTick, target: from, incarnation: process, deliver: func() { complete(false, false) }})
}

// step advances the clock by one tick, delivers the due messages and checks all invariants.
func (tn *testNetwork) step() {
	proptest.CountStep()
	tn.now += testTick
	due := tn.queue
	tn.queue = nil
	for _, d := range due {
		target := tn.hosts[d.target]
		switch {
		case d.incarnation != 0 && (d.incarnation != target.incarnation || !target.up):
		case d.at > tn.now || target.paused:
			tn.queue = append(tn.queue, d)
		default:
			d.deliver()
		}
	}
	for i, h := range tn.hosts {
		if !h.up || h.paused {
			continue
		}
		tn.tick(i)
	}
	tn.check()
}

func (tn *testNetwork) tick(i int) {
	for _, c := range tn.hosts[i].detector.tick(tn.now) {
		tn.startCall(i, c)
	}
}

func (tn *testNetwork) running(i int) bool { return tn.hosts[i].up && !tn.hosts[i].paused }

// goodLinkFor returns how long the link from i to j has been good.
func (tn *testNetwork) goodLinkFor(i, j int) time.Duration { return tn.delayAtMostFor(i, j, maxDelay) }

// delayAtMostFor returns how long the link from i to j has had at most the delay.
func (tn *testNetwork) delayAtMostFor(i, j int, delay time.Duration) time.Duration {
	l := tn.links[i][j]
	if l.cut || l.delay > delay {
		return 0
	}
	return tn.now - l.changedAt
}

// runningFor returns how long a process has run without a pause.
func (tn *testNetwork) runningFor(i int) time.Duration {
	if !tn.running(i) {
		return 0
	}
	return tn.now - tn.hosts[i].stateSince
}

// goodPairFor returns how long two VMs have run with good links in both directions.
func (tn *testNetwork) goodPairFor(i, j int) time.Duration {
	return min(tn.goodLinkFor(i, j), tn.goodLinkFor(j, i), tn.runningFor(i), tn.runningFor(j))
}

// goodProbePathFor is goodPairFor with the delay limit of indirect probes.
func (tn *testNetwork) goodProbePathFor(i, j int) time.Duration {
	return min(tn.goodPairFor(i, j), tn.delayAtMostFor(i, j, maxProbeLinkDelay), tn.delayAtMostFor(j, i, maxProbeLinkDelay))
}

func (tn *testNetwork) check() {
	for i, h := range tn.hosts {
		if !tn.running(i) {
			continue
		}
		for _, c := range h.detector.takeChanges() {
			key := fmt.Sprint(h.detector.self.ID, " ", c.member.ID)
			if c.to != Dead && tn.replacedSeen[key] {
				tn.t.Fatalf("vm-%d sees %s as %s after it was replaced", i, c.member.ID, c.to)
			}
			tn.replacedSeen[key] = tn.replacedSeen[key] || c.reason == reasonReplaced
		}
		for j := range tn.hosts {
			if i != j {
				tn.checkPair(i, j)
			}
		}
	}
}

func (tn *testNetwork) checkPair(i, j int) {
	n := tn.hosts[i].detector.neighbors[address(j)]
	if n == nil || n.ID == "" {
		return
	}
	current := n.ID == tn.hosts[j].detector.self.ID
	if good := tn.goodPairFor(i, j); good >= convergenceTime && (n.state != Alive || !current) {
		tn.t.Fatalf("vm-%d sees %s as %s after %v of a good link", i, n.ID, n.state, good)
	}
	for h := range tn.hosts {
		good := min(tn.goodProbePathFor(i, h), tn.goodProbePathFor(h, j))
		if h != i && h != j && good > convergenceTime && n.diedAt > tn.now-good+convergenceTime {
			tn.t.Fatalf("vm-%d sees %s as dead though vm-%d reached both for %v", i, n.ID, h, good)
		}
	}
	steady := min(tn.goodLinkFor(i, j), tn.goodLinkFor(j, i), tn.runningFor(j), tn.now-tn.hosts[i].startedAt)
	if steady >= convergenceTime && n.state == Dead && n.diedAt > tn.now-steady+convergenceTime {
		tn.t.Fatalf("vm-%d, which may have been paused, sees %s as dead", i, n.ID)
	}
	oneWay := min(tn.goodLinkFor(j, i), tn.runningFor(i), tn.runningFor(j))
	if l := tn.links[i][j]; l.cut && min(oneWay, tn.now-l.changedAt) >= convergenceTime && n.state == Alive {
		tn.t.Fatalf("vm-%d sees %s as alive but cannot send to it", i, n.ID)
	}
	silent := min(tn.now-tn.hosts[j].stateSince, tn.now-tn.hosts[i].stateSince)
	if tn.running(j) || n.state == Dead {
		return
	}
	if silent >= maxDeadDetectionTime {
		tn.t.Fatalf("vm-%d sees %s as %s after %v of silence", i, n.ID, n.state, silent)
	}
	if silent >= pauseDetectionTime && tn.othersHealthy(j) {
		tn.t.Fatalf("vm-%d sees %s as %s after %v of silence among healthy VMs", i, n.ID, n.state, silent)
	}
	if !tn.hosts[j].up && silent >= killDetectionTime && tn.othersHealthy(j) {
		tn.t.Fatalf("vm-%d sees %s as %s %v after its kill", i, n.ID, n.state, silent)
	}
}

// othersHealthy reports whether all links, and all VMs except the failed one, have been
// without a fault for twice the convergence time.
func (tn *testNetwork) othersHealthy(failed int) bool {
	for i := range tn.hosts {
		for j := range tn.hosts {
			l := tn.links[i][j]
			long := tn.now-l.changedAt >= 2*convergenceTime && !l.cut && l.delay <= testTick
			if !long || (i != failed && (!tn.running(i) || tn.now-tn.hosts[i].stateSince < 2*convergenceTime)) {
				return false
			}
		}
	}
	return true
}

// TestDetectorUnderProcessAndLinkFaults applies random kills, restarts, pauses, one-way
// link failures and slow links, and checks the invariants after every tick.
func TestDetectorUnderProcessAndLinkFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		tn := newTestNetwork(t)
		vm := rapid.IntRange(0, testVMs-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for range rapid.SampledFrom([]int{0, 1, 5, 40, 200}).Draw(t, "ticks") {
					tn.step()
				}
			},
			"kill": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				h := tn.hosts[i]
				h.up, h.paused, h.stateSince = false, false, tn.now
			},
			"restart": func(t *rapid.T) {
				tn.start(vm.Draw(t, "vm"))
			},
			"freeze": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				h := tn.hosts[i]
				if h.paused { // it reads the clock before its messages
					tn.tick(i)
				}
				h.paused, h.stateSince = h.up && !h.paused, tn.now
			},
			"link": func(t *rapid.T) {
				l := tn.links[vm.Draw(t, "from")][vm.Draw(t, "to")]
				l.cut = rapid.Bool().Draw(t, "cut")
				l.delay = time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * testTick
				l.changedAt = tn.now
			},
			"heal": func(*rapid.T) {
				for i := range testVMs {
					for j := range testVMs {
						tn.links[i][j] = &link{changedAt: tn.now}
					}
				}
			},
		})
	})
}

func (tn *testNetwork) runTicks(ticks int) {
	for range ticks {
		tn.step()
	}
}

func (tn *testNetwork) observedState(i, j int) State {
	return tn.hosts[i].detector.neighbors[address(j)].state
}

// TestDetectorWithSingleFault injects one fault at a time: a killed VM, a link cut in both
// directions, and a pause of the observer. Combined with other faults they are masked.
func TestDetectorWithSingleFault(t *testing.T) {
	const healthyTicks = int(2 * convergenceTime / testTick)
	for i := range testVMs {
		tn := newTestNetwork(t)
		tn.runTicks(healthyTicks)
		tn.hosts[i].up, tn.hosts[i].stateSince = false, tn.now
		tn.runTicks(int(killDetectionTime/testTick) + 1) // check fails if it is not dead by then

		tn = newTestNetwork(t)
		tn.runTicks(healthyTicks)
		other := (i + 1) % testVMs
		tn.links[i][other].cut, tn.links[other][i].cut = true, true
		for range healthyTicks {
			tn.step()
			if tn.observedState(i, other) == Dead {
				t.Fatalf("vm-%d sees vm-%d as dead though two others reach both", i, other)
			}
		}

		tn = newTestNetwork(t)
		tn.runTicks(healthyTicks)
		tn.hosts[i].paused, tn.hosts[i].stateSince = true, tn.now
		tn.runTicks(healthyTicks)
		tn.tick(i) // resumes, and reads the clock before its messages
		for j := range testVMs {
			if j != i && tn.observedState(i, j) != Alive {
				t.Errorf("vm-%d sees vm-%d as %s after its own pause", i, j, tn.observedState(i, j))
			}
		}
	}
}

// TestOlderProcessReplacesNewerOnlyAfterSilence delivers a heartbeat of an address's older
// process after one of the newer process. The older process is accepted only after the newer
// one was silent for the suspect time, and then replaces it permanently.
func TestOlderProcessReplacesNewerOnlyAfterSilence(t *testing.T) {
	d := newDetector(identity{ID: "a-1", Address: "a"}, testInterval, rand.New(rand.NewPCG(1, 1)))
	old, newer := identity{ID: "b-1", Address: "b", Incarnation: 1}, identity{ID: "b-2", Address: "b", Incarnation: 2}
	now := time.Hour
	for _, silence := range []time.Duration{0, convergenceTime} {
		if !d.recordHeartbeat(now, newer, false, false) || d.recordHeartbeat(now+silence, old, false, false) != (silence > 0) {
			t.Fatalf("heartbeat of the older process %v after one of the newer process: wrong result", silence)
		}
		if silence > 0 && d.recordHeartbeat(now+silence, newer, false, false) {
			t.Fatal("a replaced process was accepted again")
		}
	}
}
