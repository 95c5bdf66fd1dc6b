package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

// DefaultInterval is the default time between heartbeats of a pair of VMs.
const DefaultInterval = 300 * time.Millisecond

// ticksPerInterval is the number of detector ticks per heartbeat interval.
const ticksPerInterval = 3

// Options configure a Membership.
type Options struct {
	Interval time.Duration // between heartbeats; 0: DefaultInterval
	Seed     uint64        // of the random choice of probe helpers
	// Incarnation is the start time of the process by its hybrid clock.
	Incarnation event.Stamp
}

// Membership maintains the view of the other entry VMs from heartbeats and the
// platform's list. Safe for concurrent use.
type Membership struct {
	opts      Options
	self      identity
	caller    peer.Caller
	digest    func() Digest
	recorder  event.Recorder
	startTime time.Time
	leaving   atomic.Bool
	members   atomic.Pointer[[]Member] // excluding this VM
	changed   chan struct{}            // signals changes of digests and states

	mu            sync.Mutex // guards the fields below
	detector      *detector
	digestHistory digestHistory
	peers         map[model.VMID]*peerDigests
}

// peerDigests is the state of the digest exchange with one process.
type peerDigests struct {
	identity     identity
	received     receivedDigest // the newest digest from it
	ackedVersion version        // of this VM's digest, as acknowledged by it
}

var _ View = (*Membership)(nil)

// New returns a Membership without other members. It calls digest from any goroutine,
// several times a second; the result must not be modified afterwards.
func New(opts Options, self Member, caller peer.Caller, digest func() Digest, recorder event.Recorder) *Membership {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	selfIdentity := identity{
		ID:            self.ID,
		Address:       self.Address,
		HTTPAddress:   self.HTTPAddress,
		FailureDomain: self.FailureDomain,
		Incarnation:   opts.Incarnation,
	}
	m := &Membership{
		opts:      opts,
		self:      selfIdentity,
		caller:    caller,
		digest:    digest,
		recorder:  recorder,
		startTime: time.Now(),
		changed:   make(chan struct{}, 1),
		detector:  newDetector(selfIdentity, opts.Interval, rand.New(rand.NewPCG(opts.Seed, uint64(opts.Incarnation)))),
		peers:     map[model.VMID]*peerDigests{},
	}
	m.digestHistory.record(m.now(), digest())
	m.members.Store(&[]Member{})
	return m
}

// Register registers the handlers of heartbeats and probes.
func (m *Membership) Register(r peer.Registry) {
	r.Handle(methodHeartbeat, m.handleHeartbeat)
	r.Handle(methodProbe, m.handleProbe)
}

// Run sends heartbeats and probes until ctx is done. It returns nil.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		for _, c := range m.tick() {
			go m.send(ctx, c)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// UpdateVMList replaces the platform's list. VMs that are not entry VMs are ignored.
func (m *Membership) UpdateVMList(vms []platform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			listed[vm.Address] = vm.Leaving
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.setListed(m.now(), listed)
	m.publishView()
}

// Self implements View.
func (m *Membership) Self() Member {
	self := newMember(m.self, Alive, m.digest())
	if m.leaving.Load() {
		self.State = Leaving
	}
	return self
}

// Members implements View; this VM comes first. Dead VMs stay in the result while the
// platform lists them, and for deadRetentionIntervals after they died.
func (m *Membership) Members() []Member {
	return append([]Member{m.Self()}, *m.members.Load()...)
}

// Changed returns a channel that receives a value after the view of the other VMs was
// published. Its capacity is one; further signals are dropped.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// Leave announces to all other VMs that this one stops, and returns when they have
// responded or ctx is done.
func (m *Membership) Leave(ctx context.Context) {
	m.leaving.Store(true)
	var group errgroup.Group
	for _, other := range *m.members.Load() {
		if other.State != Dead {
			group.Go(func() error { return m.exchangeHeartbeats(ctx, other.Address) })
		}
	}
	_ = group.Wait() // a VM that the call did not reach detects the stop by its refused connection
}

// now returns the monotonic time since New; never zero, which means unset.
func (m *Membership) now() time.Duration { return time.Since(m.startTime) + 1 }

func (m *Membership) tick() []outboundCall {
	digest := m.digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.digestHistory.record(m.now(), digest)
	calls := m.detector.tick(m.now())
	m.publishView()
	return calls
}

// send makes one call of the detector and records its result.
func (m *Membership) send(ctx context.Context, c outboundCall) {
	m.mu.Lock()
	sentAt := m.now()
	timeout := m.detector.timeout(c)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.probeTarget == "" {
		_ = m.exchangeHeartbeats(ctx, c.address) // the result was recorded
		return
	}
	var response probeResponse
	err := m.caller.Call(ctx, c.address, methodProbe, probeRequest{Address: c.probeTarget}, &response)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.recordProbe(m.now(), sentAt, c.probeTarget, err == nil && response.Reached, err == nil && response.Refused)
	m.publishView()
}

// exchangeHeartbeats sends a heartbeat and records the response or the failure.
func (m *Membership) exchangeHeartbeats(ctx context.Context, address string) error {
	m.mu.Lock()
	message := m.newHeartbeat(address)
	m.mu.Unlock()
	var response heartbeat
	err := m.caller.Call(ctx, address, methodHeartbeat, message, &response)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.detector.recordFailure(m.now(), address, refusedConnection(err))
	} else {
		m.processHeartbeat(response)
	}
	m.publishView()
	return err
}

// refusedConnection reports whether a call failed because no process listens at the
// address.
func refusedConnection(err error) bool {
	var failure *peer.Error
	return errors.As(err, &failure) && failure.NoListener
}

// newHeartbeat returns the heartbeat for the process at an address. Called with mu held.
func (m *Membership) newHeartbeat(address string) heartbeat {
	message := heartbeat{From: m.self.ID, Leaving: m.leaving.Load(), PeerSilent: m.detector.peerSilent(m.now(), address)}
	var acked version
	if n, ok := m.detector.neighbors[address]; ok {
		if p, ok := m.peers[n.ID]; ok {
			message.AckedVersion, acked = p.received.version, p.ackedVersion
		}
	}
	if acked == 0 {
		message.Identity = &m.self
	}
	message.Delta = encodeDelta(m.digestHistory.deltaSince(acked))
	return message
}

// processHeartbeat records a heartbeat or a response. It returns false if the sender is
// unknown and sent no identity, or was replaced. Called with mu held.
func (m *Membership) processHeartbeat(message heartbeat) bool {
	p, ok := m.peers[message.From]
	switch {
	case !ok && message.Identity == nil:
		return false
	case !ok:
		p = &peerDigests{identity: *message.Identity}
	}
	if !m.detector.recordHeartbeat(m.now(), p.identity, message.Leaving, message.PeerSilent) {
		return false
	}
	m.peers[message.From] = p
	p.ackedVersion = message.AckedVersion
	p.received.applyDelta(decodeDelta(message.Delta))
	return true
}

func (m *Membership) handleHeartbeat(_ context.Context, params json.RawMessage) (any, error) {
	message, err := decode[heartbeat](params)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.processHeartbeat(message)
	m.publishView()
	if !known {
		return heartbeat{From: m.self.ID, Identity: &m.self}, nil
	}
	return m.newHeartbeat(m.peers[message.From].identity.Address), nil
}

func (m *Membership) handleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	request, err := decode[probeRequest](params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeHeartbeatTimeout(ctx))
	defer cancel()
	err = m.exchangeHeartbeats(ctx, request.Address)
	return probeResponse{Reached: err == nil, Refused: err != nil && refusedConnection(err)}, nil
}

// probeHeartbeatTimeout returns the timeout of the heartbeat sent for a probe. It is below
// the probe's own, so that a failure is also reported in time.
func probeHeartbeatTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) * 3 / 4
}

// publishView records events for state changes, updates the view and signals Changed.
// Called with mu held.
func (m *Membership) publishView() {
	for _, c := range m.detector.takeChanges() {
		previous := c.from.String()
		if c.reason == reasonJoined {
			previous = "new"
		}
		m.recorder.Record(changeEvents[c.to], c.member.ID, c.member.Address, previous, c.reason)
	}
	var members []Member
	known := map[model.VMID]bool{}
	for _, n := range m.detector.neighbors {
		if p, ok := m.peers[n.ID]; ok {
			members = append(members, newMember(n.identity, n.state, p.received.digest))
			known[n.ID] = true
		}
	}
	for id := range m.peers {
		if !known[id] {
			delete(m.peers, id)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	m.members.Store(&members)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func newMember(i identity, s State, d Digest) Member {
	return Member{ID: i.ID, Address: i.Address, HTTPAddress: i.HTTPAddress, FailureDomain: i.FailureDomain, State: s, Digest: d}
}

// changeEvents maps each new state to its event.
var changeEvents = map[State]*event.Definition{
	Alive:   event.MemberAlive,
	Suspect: event.MemberSuspect,
	Dead:    event.MemberDead,
	Leaving: event.MemberLeaving,
}
