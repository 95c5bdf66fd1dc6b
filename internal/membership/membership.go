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

// DefaultInterval is the time between heartbeats of a pair of VMs.
const DefaultInterval = 300 * time.Millisecond

// ticksPerInterval is how often the detector is asked.
const ticksPerInterval = 3

// Options are the settings of a Membership.
type Options struct {
	Interval time.Duration // between heartbeats; 0: DefaultInterval
	Seed     uint64        // of the choice of helpers
	// Born is the start of the process by its hybrid clock.
	Born event.Stamp
}

// Membership keeps the view of the other entry VMs by heartbeats. Safe for
// concurrent use.
type Membership struct {
	opts     Options
	self     identity
	caller   peer.Caller
	digest   func() Digest
	recorder event.Recorder
	started  time.Time
	leaving  atomic.Bool
	members  atomic.Pointer[[]Member] // the others
	heard    chan struct{}            // signals that a digest or a state changed

	mu       sync.Mutex // guards the fields below
	detector *detector
	own      ownDigests
	peers    map[model.VMID]*peerDigests
}

// peerDigests is the exchange of digests with one process.
type peerDigests struct {
	identity identity
	held     heldDigest // its digest, here
	acked    version    // of this VM's digest, there
}

var _ View = (*Membership)(nil)

// New returns a membership that knows only this VM. The digest function is called
// from any goroutine, several times a second; its result is not changed afterwards.
func New(opts Options, self Member, caller peer.Caller, digest func() Digest, recorder event.Recorder) *Membership {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	me := identity{
		ID:            self.ID,
		Address:       self.Address,
		HTTPAddress:   self.HTTPAddress,
		FailureDomain: self.FailureDomain,
		Born:          opts.Born,
	}
	m := &Membership{
		opts:     opts,
		self:     me,
		caller:   caller,
		digest:   digest,
		recorder: recorder,
		started:  time.Now(),
		heard:    make(chan struct{}, 1),
		detector: newDetector(me, opts.Interval, rand.New(rand.NewPCG(opts.Seed, uint64(opts.Born)))),
		peers:    map[model.VMID]*peerDigests{},
	}
	m.own.update(m.now(), digest())
	m.members.Store(&[]Member{})
	return m
}

// Register adds the handlers of heartbeats and probes.
func (m *Membership) Register(r peer.Registry) {
	r.Handle(methodHeartbeat, m.handleHeartbeat)
	r.Handle(methodProbe, m.handleProbe)
}

// Run sends heartbeats until ctx is done.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		for _, c := range m.tick() {
			go m.execute(ctx, c)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Update takes the platform's list. VMs of other roles are ignored.
func (m *Membership) Update(vms []platform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			listed[vm.Address] = vm.Leaving
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.list(m.now(), listed)
	m.publish()
}

// Self implements View.
func (m *Membership) Self() Member {
	self := member(m.self, Alive, m.digest())
	if m.leaving.Load() {
		self.State = Leaving
	}
	return self
}

// Members implements View; this VM comes first. Dead VMs are listed for a while.
func (m *Membership) Members() []Member {
	return append([]Member{m.Self()}, *m.members.Load()...)
}

// Changed is signalled, without a backlog, when another VM's state or digest changed.
func (m *Membership) Changed() <-chan struct{} { return m.heard }

// Leave announces this VM's stop to all others and waits for their answers or for ctx.
func (m *Membership) Leave(ctx context.Context) {
	m.leaving.Store(true)
	var group errgroup.Group
	for _, other := range *m.members.Load() {
		if other.State != Dead {
			group.Go(func() error { return m.exchange(ctx, other.Address) })
		}
	}
	_ = group.Wait() // a VM that was not told sees the connection refused
}

// now reads the monotonic clock; it is never zero.
func (m *Membership) now() time.Duration { return time.Since(m.started) + 1 }

func (m *Membership) tick() []command {
	digest := m.digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.update(m.now(), digest)
	commands := m.detector.tick(m.now())
	m.publish()
	return commands
}

// execute sends one command and takes its result.
func (m *Membership) execute(ctx context.Context, c command) {
	m.mu.Lock()
	begun := m.now()
	timeout := m.detector.timeout(c)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.probe == "" {
		_ = m.exchange(ctx, c.address) // the detector was told
		return
	}
	var answer probeAnswer
	err := m.caller.Call(ctx, c.address, methodProbe, probeRequest{Address: c.probe}, &answer)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.probed(m.now(), begun, c.probe, err == nil && answer.Reached, err == nil && answer.Refused)
	m.publish()
}

// exchange sends a heartbeat and takes its answer.
func (m *Membership) exchange(ctx context.Context, address string) error {
	m.mu.Lock()
	message := m.compose(address)
	m.mu.Unlock()
	var answer heartbeat
	err := m.caller.Call(ctx, address, methodHeartbeat, message, &answer)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.detector.failed(m.now(), address, refusedConnection(err))
	} else {
		m.receive(answer)
	}
	m.publish()
	return err
}

// refusedConnection reports whether nobody listens at the address.
func refusedConnection(err error) bool {
	var failure *peer.Error
	return errors.As(err, &failure) && failure.NoListener
}

// compose makes a message for the process at an address. Called with mu held.
func (m *Membership) compose(address string) heartbeat {
	message := heartbeat{From: m.self.ID, Leaving: m.leaving.Load(), Unheard: m.detector.unheard(m.now(), address)}
	var acked version
	if n, ok := m.detector.neighbors[address]; ok {
		if p, ok := m.peers[n.ID]; ok {
			message.Held, acked = p.held.version, p.acked
		}
	}
	if acked == 0 {
		message.Identity = &m.self
	}
	message.Delta = encodeDelta(m.own.deltaSince(acked))
	return message
}

// receive takes a heartbeat or an answer and reports whether its sender is known
// now. Called with mu held.
func (m *Membership) receive(message heartbeat) bool {
	p, ok := m.peers[message.From]
	switch {
	case !ok && message.Identity == nil:
		return false
	case !ok:
		p = &peerDigests{identity: *message.Identity}
	}
	if !m.detector.hear(m.now(), p.identity, message.Leaving, message.Unheard) {
		return false
	}
	m.peers[message.From] = p
	p.acked = message.Held
	p.held.apply(decodeDelta(message.Delta))
	return true
}

func (m *Membership) handleHeartbeat(_ context.Context, params json.RawMessage) (any, error) {
	message, err := decode[heartbeat](params)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.receive(message)
	m.publish()
	if !known {
		return heartbeat{From: m.self.ID, Identity: &m.self}, nil
	}
	return m.compose(m.peers[message.From].identity.Address), nil
}

func (m *Membership) handleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	request, err := decode[probeRequest](params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeShare(ctx))
	defer cancel()
	err = m.exchange(ctx, request.Address)
	return probeAnswer{Reached: err == nil, Refused: err != nil && refusedConnection(err)}, nil
}

// probeShare is the part of a probe's time that its heartbeat may take, so that the
// answer is back in time also when there is none.
func probeShare(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) * 3 / 4
}

// publish records the changes and renews the view. Called with mu held.
func (m *Membership) publish() {
	for _, c := range m.detector.takeChanges() {
		was := c.from.String()
		if c.reason == joined {
			was = "new"
		}
		m.recorder.Record(changeEvents[c.to], c.member.ID, c.member.Address, was, c.reason)
	}
	var members []Member
	known := map[model.VMID]bool{}
	for _, n := range m.detector.neighbors {
		if p, ok := m.peers[n.ID]; ok {
			members = append(members, member(n.identity, n.state, p.held.digest))
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
	case m.heard <- struct{}{}:
	default:
	}
}

func member(i identity, s State, d Digest) Member {
	return Member{ID: i.ID, Address: i.Address, HTTPAddress: i.HTTPAddress, FailureDomain: i.FailureDomain, State: s, Digest: d}
}

// changeEvents gives the event for each new state.
var changeEvents = map[State]*event.Definition{
	Alive:   event.MemberAlive,
	Suspect: event.MemberSuspect,
	Dead:    event.MemberDead,
	Leaving: event.MemberLeaving,
}
