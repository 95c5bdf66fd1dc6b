package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Times of the detector, in heartbeat intervals.
const (
	lateIntervals         = 1.5 // of silence after which this VM sends a heartbeat even where the other one does
	suspectIntervals      = 3   // of silence
	slowIntervals         = 2   // mean gap between heartbeats from which a VM is too slow for new work
	refusedIntervals      = 1.5 // of silence after which a VM is dead where nobody listens any more
	deadIntervals         = 6   // of silence
	deadGaps              = 3   // of silence, in mean gaps, if that is longer
	maxDeadIntervals      = 24  // of silence, however slow the VM was before
	probeIntervals        = 3   // between rounds of indirect probes
	probeTimeoutIntervals = 2   // for the answer to a probe; below probeIntervals, so that each round ends
	retryIntervals        = 10  // between heartbeats to a dead VM
	forgetIntervals       = 200 // after death of a VM that the list does not show
)

const (
	helpers         = 3 // VMs asked in a round of indirect probes
	peersAtInterval = 4 // with more peers the interval grows, so that the messages a second do not
	gapWeight       = 8 // weight of the old mean against a new gap
	maxReplacedVMs  = 4096
)

// identity is what a VM says of itself; it never changes while the process runs.
type identity struct {
	ID            model.VMID          `json:"i"`
	Address       string              `json:"a"` // of its peer link
	HTTPAddress   string              `json:"u"`
	FailureDomain model.FailureDomain `json:"d"`
	Born          event.Stamp         `json:"b"` // start of the process; orders the processes of one address
}

// reason says why a member's state changed.
type reason string

const (
	joined      reason = "joined"
	returned    reason = "heartbeats are back"
	silent      reason = "heartbeats are late"
	slow        reason = "heartbeats are slow"
	oneWay      reason = "it does not hear this VM"
	unreachable reason = "no VM can reach it"
	gone        reason = "no VM can connect to it"
	replaced    reason = "its address has a newer process"
	dropped     reason = "the platform's list dropped it"
	leaving     reason = "it is leaving"
)

// change is one member's new state.
type change struct {
	member identity
	from   State
	to     State
	reason reason
}

// command is what the detector wants sent.
type command struct {
	address string // of the VM to send to
	probe   string // address to probe through it; empty: a heartbeat
}

// neighbor is what is known of one address.
type neighbor struct {
	identity       // zero until the first heartbeat
	state    State // of identity
	listed   bool
	dropped  bool // was listed and is no longer
	departs  bool // announced by itself or by the list
	deaf     bool // says that it does not hear this VM
	refused  bool // the last heartbeat to it found nobody listening

	asked   time.Duration // first heartbeat sent to the address
	heard   time.Duration // last heartbeat or answer
	reached time.Duration // last time that a helper reached it
	meanGap time.Duration // between heartbeats
	sent    time.Duration
	died    time.Duration
	round   probeRound
}

// probeRound counts the helpers of the running or last round of indirect probes.
type probeRound struct {
	begun   time.Duration
	asked   int
	ended   int
	refused int
}

func (r probeRound) done() bool { return r.begun > 0 && r.ended >= r.asked }

// detector tells live, slow and dead VMs apart. It is pure: times are readings of a
// monotonic clock that the caller passes in. Used by one goroutine at a time.
type detector struct {
	self      identity
	base      time.Duration // heartbeat interval with few peers
	rand      *rand.Rand
	neighbors map[string]*neighbor // by address, without this VM's own
	replaced  map[model.VMID]bool  // processes that are over
	ticked    time.Duration
	changes   []change // since the last takeChanges
}

func newDetector(self identity, interval time.Duration, random *rand.Rand) *detector {
	return &detector{
		self:      self,
		base:      interval,
		rand:      random,
		neighbors: map[string]*neighbor{},
		replaced:  map[model.VMID]bool{},
	}
}

// interval grows with the number of peers so that a VM's heartbeats cost the same
// bytes a second however many VMs there are.
func (d *detector) interval() time.Duration {
	return d.base * time.Duration(max(peersAtInterval, len(d.neighbors))) / peersAtInterval
}

func (d *detector) intervals(n float64) time.Duration {
	return time.Duration(n * float64(d.interval()))
}

// takeChanges returns what changed since the last call.
func (d *detector) takeChanges() []change {
	changes := d.changes
	d.changes = nil
	return changes
}

// list takes the addresses of the platform's list; the value says who is leaving.
func (d *detector) list(now time.Duration, listed map[string]bool) {
	for address := range listed {
		if address != d.self.Address {
			d.neighbor(address)
		}
	}
	for address, n := range d.neighbors {
		leaves, present := listed[address]
		n.dropped = !present && (n.listed || n.dropped)
		n.listed = present
		n.departs = n.departs || leaves
		d.assess(now, n)
	}
}

func (d *detector) neighbor(address string) *neighbor {
	n, ok := d.neighbors[address]
	if !ok {
		n = &neighbor{}
		d.neighbors[address] = n
	}
	return n
}

// hear takes a heartbeat or an answer. It reports false when the sender is over,
// having been replaced at its address.
func (d *detector) hear(now time.Duration, from identity, departs, deaf bool) bool {
	if from.Address == d.self.Address || d.replaced[from.ID] {
		return false
	}
	n := d.neighbor(from.Address)
	if n.ID != from.ID && !d.introduce(now, n, from) {
		return false
	}
	gap := now - n.heard
	n.meanGap += (gap - n.meanGap) / gapWeight
	if n.state == Dead {
		n.meanGap = d.interval()
		n.reached = 0
	}
	n.heard = now
	n.refused = false
	n.deaf = deaf
	n.departs = n.departs || departs
	n.round = probeRound{}
	d.assess(now, n)
	return true
}

// introduce puts a new process in the place of an address's old one, unless the
// old one is younger and not silent: then the message is a late one.
func (d *detector) introduce(now time.Duration, n *neighbor, from identity) bool {
	if n.ID != "" {
		if from.Born < n.Born && now-n.heard < d.intervals(suspectIntervals) {
			return false
		}
		d.bury(n.ID)
		d.move(now, n, Dead, replaced)
	}
	n.identity = from
	n.heard = now
	n.reached = 0
	n.meanGap = d.interval()
	n.departs = false
	n.state = Dead
	d.move(now, n, Alive, joined)
	return true
}

func (d *detector) bury(id model.VMID) {
	if len(d.replaced) >= maxReplacedVMs {
		clear(d.replaced)
	}
	d.replaced[id] = true
}

// timeout bounds a command's call. A late answer to a heartbeat still shows that the
// VM is only slow; a probe has to answer before the next verdict.
func (d *detector) timeout(c command) time.Duration {
	if c.probe != "" {
		return d.intervals(probeTimeoutIntervals)
	}
	return d.intervals(maxDeadIntervals)
}

// unheard tells whether a VM that this one sends to has been silent for suspiciously long.
func (d *detector) unheard(now time.Duration, address string) bool {
	n, ok := d.neighbors[address]
	if !ok || n.asked == 0 {
		return false
	}
	return now-max(n.heard, n.asked) >= d.intervals(suspectIntervals)
}

// failed takes a heartbeat that had no answer; refused says that nobody listens there.
func (d *detector) failed(now time.Duration, address string, refused bool) {
	if n, ok := d.neighbors[address]; ok && refused {
		n.refused = true
		d.assess(now, n)
	}
}

// probed takes the result of an indirect probe that was sent at begun.
func (d *detector) probed(now, begun time.Duration, address string, reached, refused bool) {
	n, ok := d.neighbors[address]
	if !ok || begun < n.round.begun {
		return
	}
	n.round.ended++
	if refused {
		n.round.refused++
	}
	if reached {
		n.reached = now
	}
	d.assess(now, n)
}

// tick judges all neighbors and returns what is to be sent.
func (d *detector) tick(now time.Duration) []command {
	d.forgivePause(now)
	var commands []command
	for _, address := range slices.Sorted(maps.Keys(d.neighbors)) {
		n := d.neighbors[address]
		d.assess(now, n)
		if d.forgettable(now, n) {
			delete(d.neighbors, address)
			continue
		}
		if d.due(now, address, n) {
			n.sent = now
			if n.asked == 0 {
				n.asked = now
			}
			commands = append(commands, command{address: address})
		}
		if d.wantsProbes(now, n) {
			commands = append(commands, d.probes(now, address, n)...)
		}
	}
	return commands
}

// forgivePause shifts the times of all neighbors when this process itself stood still.
func (d *detector) forgivePause(now time.Duration) {
	pause := now - d.ticked - d.interval()
	d.ticked = now
	if pause <= 0 {
		return
	}
	for _, n := range d.neighbors {
		n.heard = min(n.heard+pause, now)
		n.round = probeRound{}
		if n.reached > 0 {
			n.reached = min(n.reached+pause, now)
		}
	}
}

// due tells whether a heartbeat is to be sent now: by the lower address of each pair
// every interval, by the other one when it hears nothing.
func (d *detector) due(now time.Duration, address string, n *neighbor) bool {
	since := now - n.sent
	switch {
	case n.sent == 0:
		return true
	case n.ID == "" || n.state == Dead:
		return since >= d.intervals(retryIntervals)
	case d.self.Address < address:
		return since >= d.interval()
	default:
		return since >= d.interval() && now-n.heard >= d.intervals(lateIntervals)
	}
}

func (d *detector) wantsProbes(now time.Duration, n *neighbor) bool {
	quiet := n.refused || now-n.heard >= d.intervals(suspectIntervals)
	return n.ID != "" && n.state != Dead && quiet && now-n.round.begun >= d.intervals(probeIntervals)
}

// probes begins a round of indirect probes through a few live neighbors.
func (d *detector) probes(now time.Duration, target string, n *neighbor) []command {
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(d.neighbors)) {
		if address != target && d.neighbors[address].ID != "" && d.neighbors[address].state == Alive {
			candidates = append(candidates, address)
		}
	}
	d.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = candidates[:min(helpers, len(candidates))]
	n.round = probeRound{begun: now, asked: len(candidates)}
	commands := make([]command, len(candidates))
	for i, helper := range candidates {
		commands[i] = command{address: helper, probe: target}
	}
	return commands
}

// assess moves a neighbor to the state that its evidence asks for.
func (d *detector) assess(now time.Duration, n *neighbor) {
	if n.ID == "" {
		return
	}
	silence := now - n.heard
	quiet := silence
	if n.reached > 0 {
		quiet = min(quiet, now-n.reached)
	}
	suspicious := silence >= d.intervals(suspectIntervals)
	switch {
	case n.state == Dead && suspicious:
	case n.dropped && quiet >= d.intervals(suspectIntervals):
		d.move(now, n, Dead, dropped)
	case n.departs && n.refused:
		d.move(now, n, Dead, gone)
	case n.refused && d.refusedEverywhere(n) && quiet >= d.intervals(refusedIntervals):
		d.move(now, n, Dead, gone)
	case quiet >= d.deadAfter(n) && n.round.done():
		d.move(now, n, Dead, unreachable)
	case n.departs || n.dropped:
		d.move(now, n, Leaving, leaving)
	case suspicious:
		d.move(now, n, Suspect, silent)
	case n.meanGap >= d.intervals(slowIntervals):
		d.move(now, n, Suspect, slow)
	case n.deaf:
		d.move(now, n, Suspect, oneWay)
	default:
		d.move(now, n, Alive, returned)
	}
}

// refusedEverywhere reports whether all helpers of a round found nobody listening either.
func (d *detector) refusedEverywhere(n *neighbor) bool {
	return n.round.done() && n.round.refused == n.round.asked
}

// deadAfter is the silence after which a VM is dead; longer for one that was slow.
func (d *detector) deadAfter(n *neighbor) time.Duration {
	after := max(d.intervals(deadIntervals), deadGaps*n.meanGap)
	return min(after, d.intervals(maxDeadIntervals))
}

func (d *detector) move(now time.Duration, n *neighbor, to State, why reason) {
	if n.state == to {
		return
	}
	d.changes = append(d.changes, change{member: n.identity, from: n.state, to: to, reason: why})
	n.state = to
	if to == Dead {
		n.died = now
	}
}

// forgettable reports whether nothing is left to wait for from an address.
func (d *detector) forgettable(now time.Duration, n *neighbor) bool {
	if n.listed || (n.ID != "" && n.state != Dead) {
		return false
	}
	return n.ID == "" || now-n.died >= d.intervals(forgetIntervals)
}
