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
	reverseHeartbeatIntervals = 1.5 // of silence after which this VM sends a heartbeat even where the other one does
	suspectIntervals          = 3   // of silence
	slowMeanGapIntervals      = 2   // mean gap between heartbeats from which a VM is too slow for new work
	noListenerDeadIntervals   = 1.5 // of silence after which a VM is dead where nobody listens any more
	deadIntervals             = 6   // of silence
	deadMeanGaps              = 3   // of silence, in mean gaps, if that is longer
	maxDeadIntervals          = 24  // of silence, however slow the VM was before
	probeIntervals            = 3   // between rounds of indirect probes
	probeTimeoutIntervals     = 2   // for the answer to a probe; below probeIntervals, so that each round ends
	deadHeartbeatIntervals    = 10  // between heartbeats to a dead VM
	deadRetentionIntervals    = 200 // after death of a VM that the list does not show
)

const (
	probeHelpers         = 3 // VMs asked in a round of indirect probes
	peersAtBaseInterval  = 4 // with more peers the interval grows, so that the messages a second do not
	meanGapWeight        = 8 // weight of the old mean against a new gap
	maxReplacedProcesses = 4096
)

// identity is what a VM says of itself; it never changes while the process runs.
type identity struct {
	ID            model.VMID          `json:"i"`
	Address       string              `json:"a"` // of its peer link
	HTTPAddress   string              `json:"u"`
	FailureDomain model.FailureDomain `json:"d"`
	Incarnation   event.Stamp         `json:"b"` // start of the process; orders the processes of one address
}

// changeReason says why a member's state changed.
type changeReason string

const (
	reasonJoined      changeReason = "joined"
	reasonRecovered   changeReason = "heartbeats are back"
	reasonLate        changeReason = "heartbeats are late"
	reasonSlow        changeReason = "heartbeats are slow"
	reasonOneWay      changeReason = "it does not hear this VM"
	reasonUnreachable changeReason = "no VM can reach it"
	reasonNoListener  changeReason = "no VM can connect to it"
	reasonReplaced    changeReason = "its address has a newer process"
	reasonUnlisted    changeReason = "the platform's list dropped it"
	reasonLeaving     changeReason = "it is leaving"
)

// change is one member's new state.
type stateChange struct {
	member identity
	from   State
	to     State
	reason changeReason
}

// command is what the detector wants sent.
type outboundCall struct {
	address     string // of the VM to send to
	probeTarget string // address to probe through it; empty: a heartbeat
}

// neighbor is what is known of one address.
type neighbor struct {
	identity                // zero until the first heartbeat
	state             State // of identity
	listed            bool
	unlisted          bool // was listed and is no longer
	leaving           bool // announced by itself or by the list
	reportsSilence    bool // says that it does not hear this VM
	connectionRefused bool // the last heartbeat to it found nobody listening

	firstSent           time.Duration // first heartbeat sent to the address
	lastReceived        time.Duration // last heartbeat or answer
	lastReachedByHelper time.Duration // last time that a helper reached it
	meanGap             time.Duration // between heartbeats
	lastSent            time.Duration
	diedAt              time.Duration
	probes              probeRound
}

// probeRound counts the helpers of the running or last round of indirect probes.
type probeRound struct {
	startedAt time.Duration
	requested int
	completed int
	refused   int
}

func (r probeRound) done() bool { return r.startedAt > 0 && r.completed >= r.requested }

// detector tells live, slow and dead VMs apart. It is pure: times are readings of a
// monotonic clock that the caller passes in. Used by one goroutine at a time.
type detector struct {
	self           identity
	baseInterval   time.Duration // heartbeat interval with few peers
	rand           *rand.Rand
	neighbors      map[string]*neighbor // by address, without this VM's own
	replaced       map[model.VMID]bool  // processes that are over
	lastTick       time.Duration
	pendingChanges []stateChange // since the last takeChanges
}

func newDetector(self identity, interval time.Duration, random *rand.Rand) *detector {
	return &detector{
		self:         self,
		baseInterval: interval,
		rand:         random,
		neighbors:    map[string]*neighbor{},
		replaced:     map[model.VMID]bool{},
	}
}

// interval grows with the number of peers so that a VM's heartbeats cost the same
// bytes a second however many VMs there are.
func (d *detector) interval() time.Duration {
	return d.baseInterval * time.Duration(max(peersAtBaseInterval, len(d.neighbors))) / peersAtBaseInterval
}

func (d *detector) intervals(n float64) time.Duration {
	return time.Duration(n * float64(d.interval()))
}

// takeChanges returns what changed since the last call.
func (d *detector) takeChanges() []stateChange {
	changes := d.pendingChanges
	d.pendingChanges = nil
	return changes
}

// setListed takes the addresses of the platform's setListed; the value says who is leaving.
func (d *detector) setListed(now time.Duration, listed map[string]bool) {
	for address := range listed {
		if address != d.self.Address {
			d.neighborAt(address)
		}
	}
	for address, n := range d.neighbors {
		leaves, present := listed[address]
		n.unlisted = !present && (n.listed || n.unlisted)
		n.listed = present
		n.leaving = n.leaving || leaves
		d.updateState(now, n)
	}
}

func (d *detector) neighborAt(address string) *neighbor {
	n, ok := d.neighbors[address]
	if !ok {
		n = &neighbor{}
		d.neighbors[address] = n
	}
	return n
}

// hear takes a heartbeat or an answer. It reports false when the sender is over,
// having been replaced at its address.
func (d *detector) recordHeartbeat(now time.Duration, from identity, departs, reportsSilence bool) bool {
	if from.Address == d.self.Address || d.replaced[from.ID] {
		return false
	}
	n := d.neighborAt(from.Address)
	if n.ID != from.ID && !d.replaceProcess(now, n, from) {
		return false
	}
	gap := now - n.lastReceived
	n.meanGap += (gap - n.meanGap) / meanGapWeight
	if n.state == Dead {
		n.meanGap = d.interval()
		n.lastReachedByHelper = 0
	}
	n.lastReceived = now
	n.connectionRefused = false
	n.reportsSilence = reportsSilence
	n.leaving = n.leaving || departs
	n.probes = probeRound{}
	d.updateState(now, n)
	return true
}

// introduce puts a new process in the place of an address's old one, unless the
// old one is younger and not silent: then the message is a late one.
func (d *detector) replaceProcess(now time.Duration, n *neighbor, from identity) bool {
	if n.ID != "" {
		if from.Incarnation < n.Incarnation && now-n.lastReceived < d.intervals(suspectIntervals) {
			return false
		}
		d.markReplaced(n.ID)
		d.setState(now, n, Dead, reasonReplaced)
	}
	n.identity = from
	n.lastReceived = now
	n.lastReachedByHelper = 0
	n.meanGap = d.interval()
	n.leaving = false
	n.state = Dead
	d.setState(now, n, Alive, reasonJoined)
	return true
}

func (d *detector) markReplaced(id model.VMID) {
	if len(d.replaced) >= maxReplacedProcesses {
		clear(d.replaced)
	}
	d.replaced[id] = true
}

// timeout bounds a command's call. A late answer to a heartbeat still shows that the
// VM is only slow; a probe has to answer before the next verdict.
func (d *detector) timeout(c outboundCall) time.Duration {
	if c.probeTarget != "" {
		return d.intervals(probeTimeoutIntervals)
	}
	return d.intervals(maxDeadIntervals)
}

// unheard tells whether a VM that this one sends to has been silent for suspiciously long.
func (d *detector) peerSilent(now time.Duration, address string) bool {
	n, ok := d.neighbors[address]
	if !ok || n.firstSent == 0 {
		return false
	}
	return now-max(n.lastReceived, n.firstSent) >= d.intervals(suspectIntervals)
}

// recordFailure takes a heartbeat that had no answer; refused says that nobody listens there.
func (d *detector) recordFailure(now time.Duration, address string, refused bool) {
	if n, ok := d.neighbors[address]; ok && refused {
		n.connectionRefused = true
		d.updateState(now, n)
	}
}

// probed takes the result of an indirect probe that was sent at begun.
func (d *detector) recordProbe(now, begun time.Duration, address string, reached, refused bool) {
	n, ok := d.neighbors[address]
	if !ok || begun < n.probes.startedAt {
		return
	}
	n.probes.completed++
	if refused {
		n.probes.refused++
	}
	if reached {
		n.lastReachedByHelper = now
	}
	d.updateState(now, n)
}

// tick judges all neighbors and returns what is to be sent.
func (d *detector) tick(now time.Duration) []outboundCall {
	d.compensatePause(now)
	var calls []outboundCall
	for _, address := range slices.Sorted(maps.Keys(d.neighbors)) {
		n := d.neighbors[address]
		d.updateState(now, n)
		if d.removable(now, n) {
			delete(d.neighbors, address)
			continue
		}
		if d.heartbeatDue(now, address, n) {
			n.lastSent = now
			if n.firstSent == 0 {
				n.firstSent = now
			}
			calls = append(calls, outboundCall{address: address})
		}
		if d.probeDue(now, n) {
			calls = append(calls, d.startProbeRound(now, address, n)...)
		}
	}
	return calls
}

// forgivePause shifts the times of all neighbors when this process itself stood still.
func (d *detector) compensatePause(now time.Duration) {
	pause := now - d.lastTick - d.interval()
	d.lastTick = now
	if pause <= 0 {
		return
	}
	for _, n := range d.neighbors {
		n.lastReceived = min(n.lastReceived+pause, now)
		n.probes = probeRound{}
		if n.lastReachedByHelper > 0 {
			n.lastReachedByHelper = min(n.lastReachedByHelper+pause, now)
		}
	}
}

// heartbeatDue tells whether a heartbeat is to be sent now: by the lower address of each pair
// every interval, by the other one when it hears nothing.
func (d *detector) heartbeatDue(now time.Duration, address string, n *neighbor) bool {
	since := now - n.lastSent
	switch {
	case n.lastSent == 0:
		return true
	case n.ID == "" || n.state == Dead:
		return since >= d.intervals(deadHeartbeatIntervals)
	case d.self.Address < address:
		return since >= d.interval()
	default:
		return since >= d.interval() && now-n.lastReceived >= d.intervals(reverseHeartbeatIntervals)
	}
}

func (d *detector) probeDue(now time.Duration, n *neighbor) bool {
	quiet := n.connectionRefused || now-n.lastReceived >= d.intervals(suspectIntervals)
	return n.ID != "" && n.state != Dead && quiet && now-n.probes.startedAt >= d.intervals(probeIntervals)
}

// probes begins a round of indirect probes through a few live neighbors.
func (d *detector) startProbeRound(now time.Duration, target string, n *neighbor) []outboundCall {
	var candidates []string
	for _, address := range slices.Sorted(maps.Keys(d.neighbors)) {
		if address != target && d.neighbors[address].ID != "" && d.neighbors[address].state == Alive {
			candidates = append(candidates, address)
		}
	}
	d.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = candidates[:min(probeHelpers, len(candidates))]
	n.probes = probeRound{startedAt: now, requested: len(candidates)}
	calls := make([]outboundCall, len(candidates))
	for i, helper := range candidates {
		calls[i] = outboundCall{address: helper, probeTarget: target}
	}
	return calls
}

// assess moves a neighbor to the state that its evidence asks for.
func (d *detector) updateState(now time.Duration, n *neighbor) {
	if n.ID == "" {
		return
	}
	silence := now - n.lastReceived
	quiet := silence
	if n.lastReachedByHelper > 0 {
		quiet = min(quiet, now-n.lastReachedByHelper)
	}
	suspicious := silence >= d.intervals(suspectIntervals)
	switch {
	case n.state == Dead && suspicious:
	case n.unlisted && quiet >= d.intervals(suspectIntervals):
		d.setState(now, n, Dead, reasonUnlisted)
	case n.leaving && n.connectionRefused:
		d.setState(now, n, Dead, reasonNoListener)
	case n.connectionRefused && d.refusedByAllHelpers(n) && quiet >= d.intervals(noListenerDeadIntervals):
		d.setState(now, n, Dead, reasonNoListener)
	case quiet >= d.deadAfter(n) && n.probes.done():
		d.setState(now, n, Dead, reasonUnreachable)
	case n.leaving || n.unlisted:
		d.setState(now, n, Leaving, reasonLeaving)
	case suspicious:
		d.setState(now, n, Suspect, reasonLate)
	case n.meanGap >= d.intervals(slowMeanGapIntervals):
		d.setState(now, n, Suspect, reasonSlow)
	case n.reportsSilence:
		d.setState(now, n, Suspect, reasonOneWay)
	default:
		d.setState(now, n, Alive, reasonRecovered)
	}
}

// refusedEverywhere reports whether all helpers of a round found nobody listening either.
func (d *detector) refusedByAllHelpers(n *neighbor) bool {
	return n.probes.done() && n.probes.refused == n.probes.requested
}

// deadAfter is the silence after which a VM is dead; longer for one that was slow.
func (d *detector) deadAfter(n *neighbor) time.Duration {
	after := max(d.intervals(deadIntervals), deadMeanGaps*n.meanGap)
	return min(after, d.intervals(maxDeadIntervals))
}

func (d *detector) setState(now time.Duration, n *neighbor, to State, why changeReason) {
	if n.state == to {
		return
	}
	d.pendingChanges = append(d.pendingChanges, stateChange{member: n.identity, from: n.state, to: to, reason: why})
	n.state = to
	if to == Dead {
		n.diedAt = now
	}
}

// forgettable reports whether nothing is left to wait for from an address.
func (d *detector) removable(now time.Duration, n *neighbor) bool {
	if n.listed || (n.ID != "" && n.state != Dead) {
		return false
	}
	return n.ID == "" || now-n.diedAt >= d.intervals(deadRetentionIntervals)
}
