package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// Time limits of the detector in heartbeat intervals. Silence is the time since the last
// heartbeat or response of a VM.
const (
	reverseHeartbeatIntervals = 1.5 // silence after which the VM with the higher address also sends heartbeats
	suspectIntervals          = 3   // silence after which a VM is suspect
	slowMeanGapIntervals      = 2   // mean gap between heartbeats from which a VM gets no new work
	noListenerDeadIntervals   = 1.5 // silence after which a VM is dead if no process listens at its address
	deadIntervals             = 6   // silence after which a VM is dead
	deadMeanGaps              = 3   // the same in mean gaps between its heartbeats, if that is longer
	maxDeadIntervals          = 24  // upper bound of both, however slow the VM was before
	probeIntervals            = 3   // between the starts of rounds of indirect probes
	probeTimeoutIntervals     = 2   // for the response to a probe; below probeIntervals, so that each round completes
	deadHeartbeatIntervals    = 10  // between heartbeats to a dead VM
	deadRetentionIntervals    = 200 // until a dead VM that is not on the platform's list is removed
)

const (
	probeHelpers         = 3    // number of VMs that send the indirect probes of a round
	peersAtBaseInterval  = 4    // with more peers the interval grows, so that the message rate does not
	meanGapWeight        = 8    // a new gap moves the mean by 1/meanGapWeight of the difference
	maxReplacedProcesses = 4096 // recorded processes; when the limit is reached, the record is cleared
)

// identity describes a VM and its process. It never changes while the process runs.
type identity struct {
	ID            model.VMID          `json:"i"`
	Address       string              `json:"a"` // of its peer link
	HTTPAddress   string              `json:"u"`
	FailureDomain model.FailureDomain `json:"d"`
	Incarnation   event.Stamp         `json:"b"` // start of the process; orders the processes at one address
}

// changeReason is the reason of a state change, as recorded in events.
type changeReason string

const (
	reasonJoined      changeReason = "joined"
	reasonRecovered   changeReason = "heartbeats are normal again"
	reasonLate        changeReason = "heartbeats are late"
	reasonSlow        changeReason = "heartbeats are slow"
	reasonOneWay      changeReason = "it receives no heartbeats from this VM"
	reasonUnreachable changeReason = "no VM can reach it"
	reasonNoListener  changeReason = "its address refuses connections"
	reasonReplaced    changeReason = "a newer process runs at its address"
	reasonUnlisted    changeReason = "it is no longer in the platform's list"
	reasonLeaving     changeReason = "it is leaving"
)

// stateChange is a change of one member's state.
type stateChange struct {
	member identity
	from   State
	to     State
	reason changeReason
}

// outboundCall is a call that the detector requests: a heartbeat or a probe.
type outboundCall struct {
	address     string // of the VM to call
	probeTarget string // address that the called VM is to probe; empty for a heartbeat
}

// neighbor is the detector's record of one address.
type neighbor struct {
	identity                // zero until the first heartbeat
	state             State // of identity
	listed            bool
	unlisted          bool // was removed from the list
	leaving           bool // announced by the VM or by the list
	reportsSilence    bool // reports that it receives nothing from this VM
	connectionRefused bool // no process listened when the last heartbeat was sent to it

	firstSent           time.Duration // first heartbeat to the address
	lastReceived        time.Duration // last heartbeat or response
	lastReachedByHelper time.Duration // last successful indirect probe
	meanGap             time.Duration // moving average of the time between heartbeats
	lastSent            time.Duration
	diedAt              time.Duration
	probes              probeRound
}

// probeRound counts the helpers of the current or last round of indirect probes and
// their results.
type probeRound struct {
	startedAt time.Duration
	requested int
	completed int
	refused   int
}

func (r probeRound) done() bool { return r.startedAt > 0 && r.completed >= r.requested }

// detector classifies VMs as alive, suspect, dead or leaving. It performs no I/O and
// reads no clock: callers pass readings of a monotonic clock. It is not safe for
// concurrent use.
type detector struct {
	self           identity
	baseInterval   time.Duration // heartbeat interval with few peers
	rand           *rand.Rand
	neighbors      map[string]*neighbor // by address, excluding this VM's own
	replaced       map[model.VMID]bool  // processes whose address has a newer process
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

// interval is the time between heartbeats to one peer. It grows with the number of
// peers, so that the bytes per second of a VM's heartbeats do not.
func (d *detector) interval() time.Duration {
	return d.baseInterval * time.Duration(max(peersAtBaseInterval, len(d.neighbors))) / peersAtBaseInterval
}

func (d *detector) intervals(n float64) time.Duration {
	return time.Duration(n * float64(d.interval()))
}

// takeChanges returns the state changes since the last call.
func (d *detector) takeChanges() []stateChange {
	changes := d.pendingChanges
	d.pendingChanges = nil
	return changes
}

// setListed replaces the addresses on the platform's list; the value reports whether
// the VM is leaving.
func (d *detector) setListed(now time.Duration, listed map[string]bool) {
	for address := range listed {
		if address != d.self.Address {
			d.neighborAt(address)
		}
	}
	for address, n := range d.neighbors {
		leaving, present := listed[address]
		n.unlisted = !present && (n.listed || n.unlisted)
		n.listed = present
		n.leaving = n.leaving || leaving
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

// recordHeartbeat records a heartbeat or the response to one. It returns false if the
// sender's address is this VM's own or has a newer process.
func (d *detector) recordHeartbeat(now time.Duration, from identity, leaving, reportsSilence bool) bool {
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
	n.leaving = n.leaving || leaving
	n.probes = probeRound{}
	d.updateState(now, n)
	return true
}

// replaceProcess replaces the process known at an address by the sender of a message.
// It returns false if the known process started later and is not silent: the message
// was then delayed and its sender no longer runs.
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

// timeout returns the timeout of a call. It is long for heartbeats, because a late
// response still shows that the VM is slow and not dead; a probe has to complete before
// the next round.
func (d *detector) timeout(c outboundCall) time.Duration {
	if c.probeTarget != "" {
		return d.intervals(probeTimeoutIntervals)
	}
	return d.intervals(maxDeadIntervals)
}

// peerSilent reports whether a VM to which this one sends heartbeats has been silent for
// the suspect time.
func (d *detector) peerSilent(now time.Duration, address string) bool {
	n, ok := d.neighbors[address]
	if !ok || n.firstSent == 0 {
		return false
	}
	return now-max(n.lastReceived, n.firstSent) >= d.intervals(suspectIntervals)
}

// recordFailure records a failed heartbeat; refused reports that no process listens at
// the address.
func (d *detector) recordFailure(now time.Duration, address string, refused bool) {
	if n, ok := d.neighbors[address]; ok && refused {
		n.connectionRefused = true
		d.updateState(now, n)
	}
}

// recordProbe records the result of an indirect probe that was sent at sentAt. Results
// of earlier rounds are ignored.
func (d *detector) recordProbe(now, sentAt time.Duration, address string, reached, refused bool) {
	n, ok := d.neighbors[address]
	if !ok || sentAt < n.probes.startedAt {
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

// tick updates the state of all neighbors and returns the calls that are due.
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

// compensatePause shifts the times of all neighbors if this process itself was paused,
// so that it does not take its own pause for their silence.
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

// heartbeatDue reports whether a heartbeat is to be sent now. In each pair of VMs the one
// with the lower address sends every interval, the other one only when it receives nothing.
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
	unresponsive := n.connectionRefused || now-n.lastReceived >= d.intervals(suspectIntervals)
	return n.ID != "" && n.state != Dead && unresponsive && now-n.probes.startedAt >= d.intervals(probeIntervals)
}

// startProbeRound starts a round of indirect probes through up to probeHelpers random
// alive neighbors.
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

// updateState derives a neighbor's state from its times and flags. A dead neighbor stays
// dead while it is silent; successful indirect probes only postpone its death.
func (d *detector) updateState(now time.Duration, n *neighbor) {
	if n.ID == "" {
		return
	}
	silence := now - n.lastReceived
	unreachable := silence // time since this VM or a helper last reached it
	if n.lastReachedByHelper > 0 {
		unreachable = min(unreachable, now-n.lastReachedByHelper)
	}
	late := silence >= d.intervals(suspectIntervals)
	switch {
	case n.state == Dead && late:
	case n.unlisted && unreachable >= d.intervals(suspectIntervals):
		d.setState(now, n, Dead, reasonUnlisted)
	case n.leaving && n.connectionRefused:
		d.setState(now, n, Dead, reasonNoListener)
	case n.connectionRefused && d.refusedByAllHelpers(n) && unreachable >= d.intervals(noListenerDeadIntervals):
		d.setState(now, n, Dead, reasonNoListener)
	case unreachable >= d.deadAfter(n) && n.probes.done():
		d.setState(now, n, Dead, reasonUnreachable)
	case n.leaving || n.unlisted:
		d.setState(now, n, Leaving, reasonLeaving)
	case late:
		d.setState(now, n, Suspect, reasonLate)
	case n.meanGap >= d.intervals(slowMeanGapIntervals):
		d.setState(now, n, Suspect, reasonSlow)
	case n.reportsSilence:
		d.setState(now, n, Suspect, reasonOneWay)
	default:
		d.setState(now, n, Alive, reasonRecovered)
	}
}

// refusedByAllHelpers reports whether a round is complete and no helper found a process
// listening either.
func (d *detector) refusedByAllHelpers(n *neighbor) bool {
	return n.probes.done() && n.probes.refused == n.probes.requested
}

// deadAfter returns the silence after which a VM is dead. It is longer for a VM whose
// heartbeats were slow.
func (d *detector) deadAfter(n *neighbor) time.Duration {
	after := max(d.intervals(deadIntervals), deadMeanGaps*n.meanGap)
	return min(after, d.intervals(maxDeadIntervals))
}

func (d *detector) setState(now time.Duration, n *neighbor, to State, reason changeReason) {
	if n.state == to {
		return
	}
	d.pendingChanges = append(d.pendingChanges, stateChange{member: n.identity, from: n.state, to: to, reason: reason})
	n.state = to
	if to == Dead {
		n.diedAt = now
	}
}

// removable reports whether an unlisted address either never sent a heartbeat or has been
// dead for the retention time.
func (d *detector) removable(now time.Duration, n *neighbor) bool {
	if n.listed || (n.ID != "" && n.state != Dead) {
		return false
	}
	return n.ID == "" || now-n.diedAt >= d.intervals(deadRetentionIntervals)
}
