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
	maxDelay     = 5 * testTick // of a link that counts as good, one way
	// maxHelperDelay is the same for links on the way of an indirect probe, whose four
	// hops have to fit into its time.
	maxProbeLinkDelay = probeTimeoutIntervals * testInterval / 6

	convergenceTime      = 60 * testInterval                                                                // by which all good pairs see each other alive
	maxDeadDetectionTime = (maxDeadIntervals + 2*probeTimeoutIntervals + probeIntervals + 2) * testInterval // by which a VM that says nothing is dead
	killDetectionTime    = 6 * testInterval                                                                 // the same for a killed one among healthy others
	pauseDetectionTime   = (deadIntervals + 2) * testInterval                                               // the same for a frozen one
)

// slot is one address with the process that runs there.
type testHost struct {
	detector    *detector
	incarnation int
	up          bool
	frozen      bool
	stateSince  time.Duration // last change of up or frozen
	startedAt   time.Duration
}

// link is one direction between two slots.
type link struct {
	cut       bool
	delay     time.Duration
	changedAt time.Duration
}

// world is a small network of detectors on a driven clock. Its own state is the oracle.
type testNetwork struct {
	t            interface{ Fatalf(string, ...any) }
	now          time.Duration
	hosts        [testVMs]*testHost
	links        [testVMs][testVMs]*link
	queue        []delivery
	replacedSeen map[string]bool // observer and replaced process
}

type delivery struct {
	at          time.Duration
	target      int
	incarnation int // start of the target's process that it is for; 0: any
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
	s := tn.hosts[i]
	s.incarnation++
	s.up, s.frozen, s.stateSince, s.startedAt = true, false, tn.now, tn.now
	selfIdentity := identity{ID: model.VMID(fmt.Sprint(address(i), "-", s.incarnation)), Address: address(i), Incarnation: event.Stamp(s.incarnation)}
	s.detector = newDetector(selfIdentity, testInterval, rand.New(rand.NewPCG(uint64(i), uint64(s.incarnation))))
	listed := map[string]bool{}
	for j := range testVMs {
		listed[address(j)] = false
	}
	s.detector.setListed(tn.now, listed)
}

// send delivers a message from one process to another and calls arrive, or nothing
// if it is lost, or refuse if nobody listens there.
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

// exchange is a heartbeat call; done gets whether it was answered or refused.
func (tn *testNetwork) exchange(from, to int, done func(answered, refused bool)) {
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
	caller, process, begun, helper := tn.hosts[from], tn.hosts[from].incarnation, tn.now, target(c.address)
	ended := false
	end := func(reached, refused bool) {
		if !ended {
			ended = true
			caller.detector.recordProbe(tn.now, begun, c.probeTarget, reached, refused)
		}
	}
	tn.send(from, helper, func() {
		tn.exchange(helper, target(c.probeTarget), func(answered, refused bool) {
			tn.send(helper, from, func() { end(answered, refused) }, func() {})
		})
	}, func() {})
	tn.queue = append(tn.queue, delivery{at: tn.now + caller.detector.timeout(c) + testTick, target: from, incarnation: process, deliver: func() { end(false, false) }})
}

// step advances the clock by one tick.
func (tn *testNetwork) step() {
	proptest.Step()
	tn.now += testTick
	due := tn.queue
	tn.queue = nil
	for _, d := range due {
		target := tn.hosts[d.target]
		switch {
		case d.incarnation != 0 && (d.incarnation != target.incarnation || !target.up):
		case d.at > tn.now || target.frozen:
			tn.queue = append(tn.queue, d)
		default:
			d.deliver()
		}
	}
	for i, s := range tn.hosts {
		if !s.up || s.frozen {
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

func (tn *testNetwork) running(i int) bool { return tn.hosts[i].up && !tn.hosts[i].frozen }

// clearFor is how long the direction from i to j has been good.
func (tn *testNetwork) goodLinkFor(i, j int) time.Duration { return tn.delayAtMostFor(i, j, maxDelay) }

// fasterFor is how long the direction from i to j has had at most the delay.
func (tn *testNetwork) delayAtMostFor(i, j int, delay time.Duration) time.Duration {
	l := tn.links[i][j]
	if l.cut || l.delay > delay {
		return 0
	}
	return tn.now - l.changedAt
}

// runningFor is how long a process has run without a pause.
func (tn *testNetwork) runningFor(i int) time.Duration {
	if !tn.running(i) {
		return 0
	}
	return tn.now - tn.hosts[i].stateSince
}

// goodFor is how long two running VMs have had a good link both ways.
func (tn *testNetwork) goodPairFor(i, j int) time.Duration {
	return min(tn.goodLinkFor(i, j), tn.goodLinkFor(j, i), tn.runningFor(i), tn.runningFor(j))
}

// helpedFor is goodFor for the way of an indirect probe.
func (tn *testNetwork) goodProbePathFor(i, j int) time.Duration {
	return min(tn.goodPairFor(i, j), tn.delayAtMostFor(i, j, maxProbeLinkDelay), tn.delayAtMostFor(j, i, maxProbeLinkDelay))
}

func (tn *testNetwork) check() {
	for i, s := range tn.hosts {
		if !tn.running(i) {
			continue
		}
		for _, c := range s.detector.takeChanges() {
			key := fmt.Sprint(s.detector.self.ID, " ", c.member.ID)
			if c.to != Dead && tn.replacedSeen[key] {
				tn.t.Fatalf("vm-%d takes %s for %s after it was replaced", i, c.member.ID, c.to)
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

// healthy reports whether everything but one killed VM has been well for long.
func (tn *testNetwork) othersHealthy(killed int) bool {
	for i := range tn.hosts {
		for j := range tn.hosts {
			l := tn.links[i][j]
			long := tn.now-l.changedAt >= 2*convergenceTime && !l.cut && l.delay <= testTick
			if !long || (i != killed && (!tn.running(i) || tn.now-tn.hosts[i].stateSince < 2*convergenceTime)) {
				return false
			}
		}
	}
	return true
}

// TestDetector drives kills, restarts, pauses, one-way cuts and slow links.
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
				s := tn.hosts[i]
				s.up, s.frozen, s.stateSince = false, false, tn.now
			},
			"restart": func(t *rapid.T) {
				tn.start(vm.Draw(t, "vm"))
			},
			"freeze": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				s := tn.hosts[i]
				if s.frozen { // it sees the clock before its messages
					tn.tick(i)
				}
				s.frozen, s.stateSince = s.up && !s.frozen, tn.now
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

// TestSingleFaults drives the faults alone whose combination with others hides them.
func TestDetectorWithSingleFault(t *testing.T) {
	const healthyTicks = int(2 * convergenceTime / testTick)
	for i := range testVMs {
		tn := newTestNetwork(t)
		tn.runTicks(healthyTicks)
		tn.hosts[i].up, tn.hosts[i].stateSince = false, tn.now
		tn.runTicks(int(killDetectionTime/testTick) + 1) // check expects death by then

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
		tn.hosts[i].frozen, tn.hosts[i].stateSince = true, tn.now
		tn.runTicks(healthyTicks)
		tn.tick(i) // resumes, and sees the clock before its messages
		for j := range testVMs {
			if j != i && tn.observedState(i, j) != Alive {
				t.Errorf("vm-%d sees vm-%d as %s after its own pause", i, j, tn.observedState(i, j))
			}
		}
	}
}

// TestLateMessageOfReplacedProcess hears the old process of an address after the new one.
func TestOlderProcessReplacesNewerOnlyAfterSilence(t *testing.T) {
	d := newDetector(identity{ID: "a-1", Address: "a"}, testInterval, rand.New(rand.NewPCG(1, 1)))
	old, newer := identity{ID: "b-1", Address: "b", Incarnation: 1}, identity{ID: "b-2", Address: "b", Incarnation: 2}
	now := time.Hour
	for _, silence := range []time.Duration{0, convergenceTime} {
		if !d.recordHeartbeat(now, newer, false, false) || d.recordHeartbeat(now+silence, old, false, false) != (silence > 0) {
			t.Fatalf("old process heard %v after the new one", silence)
		}
		if silence > 0 && d.recordHeartbeat(now+silence, newer, false, false) {
			t.Fatal("a replaced process came back")
		}
	}
}
