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
	testBase = 300 * time.Millisecond
	testTick = testBase / ticksPerInterval
	testVMs  = 4
	maxDelay = 5 * testTick // of a link that counts as good, one way
	// maxHelperDelay is the same for links on the way of an indirect probe, whose four
	// hops have to fit into its time.
	maxHelperDelay = probeTimeoutIntervals * testBase / 6

	settleTime  = 60 * testBase                                                                // by which all good pairs see each other alive
	deadTime    = (maxDeadIntervals + 2*probeTimeoutIntervals + probeIntervals + 2) * testBase // by which a VM that says nothing is dead
	refusedTime = 6 * testBase                                                                 // the same for a killed one among healthy others
	silentTime  = (deadIntervals + 2) * testBase                                               // the same for a frozen one
)

// slot is one address with the process that runs there.
type slot struct {
	detector *detector
	starts   int
	up       bool
	frozen   bool
	since    time.Duration // last change of up or frozen
	started  time.Duration
}

// link is one direction between two slots.
type link struct {
	cut   bool
	delay time.Duration
	since time.Duration
}

// world is a small network of detectors on a driven clock. Its own state is the oracle.
type world struct {
	t     interface{ Fatalf(string, ...any) }
	now   time.Duration
	slots [testVMs]*slot
	links [testVMs][testVMs]*link
	queue []delivery
	over  map[string]bool // observer and replaced process
}

type delivery struct {
	at     time.Duration
	target int
	begun  int // start of the target's process that it is for; 0: any
	run    func()
}

func address(i int) string { return fmt.Sprint("vm-", i) }

func newWorld(t interface{ Fatalf(string, ...any) }) *world {
	w := &world{t: t, now: time.Hour, over: map[string]bool{}}
	for i := range testVMs {
		w.slots[i] = &slot{}
		for j := range testVMs {
			w.links[i][j] = &link{since: w.now}
		}
	}
	for i := range testVMs {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	s := w.slots[i]
	s.starts++
	s.up, s.frozen, s.since, s.started = true, false, w.now, w.now
	me := identity{ID: model.VMID(fmt.Sprint(address(i), "-", s.starts)), Address: address(i), Born: event.Stamp(s.starts)}
	s.detector = newDetector(me, testBase, rand.New(rand.NewPCG(uint64(i), uint64(s.starts))))
	listed := map[string]bool{}
	for j := range testVMs {
		listed[address(j)] = false
	}
	s.detector.list(w.now, listed)
}

// send delivers a message from one process to another and calls arrive, or nothing
// if it is lost, or refuse if nobody listens there.
func (w *world) send(from, to int, arrive, refuse func()) {
	l := w.links[from][to]
	if l.cut {
		return
	}
	w.queue = append(w.queue, delivery{at: w.now + l.delay, target: to, run: func() {
		if w.slots[to].up {
			arrive()
		} else {
			refuse()
		}
	}})
}

// exchange is a heartbeat call; done gets whether it was answered or refused.
func (w *world) exchange(from, to int, done func(answered, refused bool)) {
	caller, process := w.slots[from], w.slots[from].starts
	me, unheard := caller.detector.self, caller.detector.unheard(w.now, address(to))
	back := func(run func()) {
		if l := w.links[to][from]; !l.cut {
			w.queue = append(w.queue, delivery{at: w.now + l.delay, target: from, begun: process, run: run})
		}
	}
	w.send(from, to, func() {
		server := w.slots[to].detector
		server.hear(w.now, me, false, unheard)
		them, deaf := server.self, server.unheard(w.now, address(from))
		back(func() {
			caller.detector.hear(w.now, them, false, deaf)
			done(true, false)
		})
	}, func() {
		back(func() {
			caller.detector.failed(w.now, address(to), true)
			done(false, true)
		})
	})
}

func (w *world) execute(from int, c command) {
	target := func(a string) (i int) {
		fmt.Sscanf(a, "vm-%d", &i)
		return i
	}
	if c.probe == "" {
		w.exchange(from, target(c.address), func(bool, bool) {})
		return
	}
	caller, process, begun, helper := w.slots[from], w.slots[from].starts, w.now, target(c.address)
	ended := false
	end := func(reached, refused bool) {
		if !ended {
			ended = true
			caller.detector.probed(w.now, begun, c.probe, reached, refused)
		}
	}
	w.send(from, helper, func() {
		w.exchange(helper, target(c.probe), func(answered, refused bool) {
			w.send(helper, from, func() { end(answered, refused) }, func() {})
		})
	}, func() {})
	w.queue = append(w.queue, delivery{at: w.now + caller.detector.timeout(c) + testTick, target: from, begun: process, run: func() { end(false, false) }})
}

// step advances the clock by one tick.
func (w *world) step() {
	proptest.CountStep()
	w.now += testTick
	due := w.queue
	w.queue = nil
	for _, d := range due {
		target := w.slots[d.target]
		switch {
		case d.begun != 0 && (d.begun != target.starts || !target.up):
		case d.at > w.now || target.frozen:
			w.queue = append(w.queue, d)
		default:
			d.run()
		}
	}
	for i, s := range w.slots {
		if !s.up || s.frozen {
			continue
		}
		w.tick(i)
	}
	w.check()
}

func (w *world) tick(i int) {
	for _, c := range w.slots[i].detector.tick(w.now) {
		w.execute(i, c)
	}
}

func (w *world) running(i int) bool { return w.slots[i].up && !w.slots[i].frozen }

// clearFor is how long the direction from i to j has been good.
func (w *world) clearFor(i, j int) time.Duration { return w.fasterFor(i, j, maxDelay) }

// fasterFor is how long the direction from i to j has had at most the delay.
func (w *world) fasterFor(i, j int, delay time.Duration) time.Duration {
	l := w.links[i][j]
	if l.cut || l.delay > delay {
		return 0
	}
	return w.now - l.since
}

// runningFor is how long a process has run without a pause.
func (w *world) runningFor(i int) time.Duration {
	if !w.running(i) {
		return 0
	}
	return w.now - w.slots[i].since
}

// goodFor is how long two running VMs have had a good link both ways.
func (w *world) goodFor(i, j int) time.Duration {
	return min(w.clearFor(i, j), w.clearFor(j, i), w.runningFor(i), w.runningFor(j))
}

// helpedFor is goodFor for the way of an indirect probe.
func (w *world) helpedFor(i, j int) time.Duration {
	return min(w.goodFor(i, j), w.fasterFor(i, j, maxHelperDelay), w.fasterFor(j, i, maxHelperDelay))
}

func (w *world) check() {
	for i, s := range w.slots {
		if !w.running(i) {
			continue
		}
		for _, c := range s.detector.takeChanges() {
			key := fmt.Sprint(s.detector.self.ID, " ", c.member.ID)
			if c.to != Dead && w.over[key] {
				w.t.Fatalf("vm-%d takes %s for %s after it was replaced", i, c.member.ID, c.to)
			}
			w.over[key] = w.over[key] || c.reason == replaced
		}
		for j := range w.slots {
			if i != j {
				w.checkPair(i, j)
			}
		}
	}
}

func (w *world) checkPair(i, j int) {
	n := w.slots[i].detector.neighbors[address(j)]
	if n == nil || n.ID == "" {
		return
	}
	current := n.ID == w.slots[j].detector.self.ID
	if good := w.goodFor(i, j); good >= settleTime && (n.state != Alive || !current) {
		w.t.Fatalf("vm-%d sees %s as %s after %v of a good link", i, n.ID, n.state, good)
	}
	for h := range w.slots {
		good := min(w.helpedFor(i, h), w.helpedFor(h, j))
		if h != i && h != j && good > settleTime && n.died > w.now-good+settleTime {
			w.t.Fatalf("vm-%d sees %s as dead though vm-%d reached both for %v", i, n.ID, h, good)
		}
	}
	steady := min(w.clearFor(i, j), w.clearFor(j, i), w.runningFor(j), w.now-w.slots[i].started)
	if steady >= settleTime && n.state == Dead && n.died > w.now-steady+settleTime {
		w.t.Fatalf("vm-%d, which may have been paused, sees %s as dead", i, n.ID)
	}
	oneWay := min(w.clearFor(j, i), w.runningFor(i), w.runningFor(j))
	if l := w.links[i][j]; l.cut && min(oneWay, w.now-l.since) >= settleTime && n.state == Alive {
		w.t.Fatalf("vm-%d sees %s as alive but cannot send to it", i, n.ID)
	}
	silent := min(w.now-w.slots[j].since, w.now-w.slots[i].since)
	if w.running(j) || n.state == Dead {
		return
	}
	if silent >= deadTime {
		w.t.Fatalf("vm-%d sees %s as %s after %v of silence", i, n.ID, n.state, silent)
	}
	if silent >= silentTime && w.healthy(j) {
		w.t.Fatalf("vm-%d sees %s as %s after %v of silence among healthy VMs", i, n.ID, n.state, silent)
	}
	if !w.slots[j].up && silent >= refusedTime && w.healthy(j) {
		w.t.Fatalf("vm-%d sees %s as %s %v after its kill", i, n.ID, n.state, silent)
	}
}

// healthy reports whether everything but one killed VM has been well for long.
func (w *world) healthy(killed int) bool {
	for i := range w.slots {
		for j := range w.slots {
			l := w.links[i][j]
			long := w.now-l.since >= 2*settleTime && !l.cut && l.delay <= testTick
			if !long || (i != killed && (!w.running(i) || w.now-w.slots[i].since < 2*settleTime)) {
				return false
			}
		}
	}
	return true
}

// TestDetector drives kills, restarts, pauses, one-way cuts and slow links.
func TestDetector(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		vm := rapid.IntRange(0, testVMs-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for range rapid.SampledFrom([]int{0, 1, 5, 40, 200}).Draw(t, "ticks") {
					w.step()
				}
			},
			"kill": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				s := w.slots[i]
				s.up, s.frozen, s.since = false, false, w.now
			},
			"restart": func(t *rapid.T) {
				w.start(vm.Draw(t, "vm"))
			},
			"freeze": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				s := w.slots[i]
				if s.frozen { // it sees the clock before its messages
					w.tick(i)
				}
				s.frozen, s.since = s.up && !s.frozen, w.now
			},
			"link": func(t *rapid.T) {
				l := w.links[vm.Draw(t, "from")][vm.Draw(t, "to")]
				l.cut = rapid.Bool().Draw(t, "cut")
				l.delay = time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * testTick
				l.since = w.now
			},
			"heal": func(*rapid.T) {
				for i := range testVMs {
					for j := range testVMs {
						w.links[i][j] = &link{since: w.now}
					}
				}
			},
		})
	})
}

func (w *world) run(ticks int) {
	for range ticks {
		w.step()
	}
}

func (w *world) stateSeen(i, j int) State { return w.slots[i].detector.neighbors[address(j)].state }

// TestSingleFaults drives the faults alone whose combination with others hides them.
func TestSingleFaults(t *testing.T) {
	const healthyTicks = int(2 * settleTime / testTick)
	for i := range testVMs {
		w := newWorld(t)
		w.run(healthyTicks)
		w.slots[i].up, w.slots[i].since = false, w.now
		w.run(int(refusedTime/testTick) + 1) // check expects death by then

		w = newWorld(t)
		w.run(healthyTicks)
		other := (i + 1) % testVMs
		w.links[i][other].cut, w.links[other][i].cut = true, true
		for range healthyTicks {
			w.step()
			if w.stateSeen(i, other) == Dead {
				t.Fatalf("vm-%d sees vm-%d as dead though two others reach both", i, other)
			}
		}

		w = newWorld(t)
		w.run(healthyTicks)
		w.slots[i].frozen, w.slots[i].since = true, w.now
		w.run(healthyTicks)
		w.tick(i) // resumes, and sees the clock before its messages
		for j := range testVMs {
			if j != i && w.stateSeen(i, j) != Alive {
				t.Errorf("vm-%d sees vm-%d as %s after its own pause", i, j, w.stateSeen(i, j))
			}
		}
	}
}

// TestLateMessageOfReplacedProcess hears the old process of an address after the new one.
func TestLateMessageOfReplacedProcess(t *testing.T) {
	d := newDetector(identity{ID: "a-1", Address: "a"}, testBase, rand.New(rand.NewPCG(1, 1)))
	old, young := identity{ID: "b-1", Address: "b", Born: 1}, identity{ID: "b-2", Address: "b", Born: 2}
	now := time.Hour
	for _, silence := range []time.Duration{0, settleTime} {
		if !d.hear(now, young, false, false) || d.hear(now+silence, old, false, false) != (silence > 0) {
			t.Fatalf("old process heard %v after the new one", silence)
		}
		if silence > 0 && d.hear(now+silence, young, false, false) {
			t.Fatal("a replaced process came back")
		}
	}
}
