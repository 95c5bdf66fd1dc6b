package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/negroni/v3"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/entry"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/peer"
)

// Timing of a process.
const (
	headerTimeout           = 3 * time.Second         // of a caller's request line and headers
	idleTimeout             = 60 * time.Second        // of a caller's connection
	balancerNoticeTime      = 2200 * time.Millisecond // the entry balancer asks every second and needs two misses
	exitReserve             = 600 * time.Millisecond  // of the grace time, for the end of the process
	connectionCheckInterval = 20 * time.Millisecond
)

// Options are the parts and settings of a process.
type Options struct {
	Name           string
	PeerAddress    string
	CallerAddress  string
	ReadyAddress   string
	ReadyPath      string
	MetricsAddress string
	ShutdownGrace  time.Duration
	ElectionDelay  time.Duration // a small VM stands back so long when an owner is elected
	Incarnation    string
	Store          fleet.Store
	Advisor        fleet.Advisor
	Owner          owner.Options // without Advice
	Format         entry.Format
	Events         event.Recorder
	Scope          tally.Scope
	MetricsHandler http.Handler
	PeerServer     *peer.Server
	PeerClient     peer.Caller
}

// Node is the process of an entry VM. Its fields below mu are shared between goroutines.
type Node struct {
	opts              Options
	started           time.Duration // clock reading when the process began
	configurations    *configurationCache
	advisors          *advisorPool
	breaker           *entry.CircuitBreaker // for callers, of this VM or relayed for another
	stopping          atomic.Bool
	currentOwner      atomic.Pointer[owner.Owner]
	lostOwnerRevision int64        // revision of the key of the last owner that was lost; of the goroutine of lead
	takeoverFence     atomic.Int64 // fencing token of an owner that has handed over to this VM; 0: none
	openConnections   atomic.Int64 // open connections of callers and of the platform
	// confirmed is the clock reading of the last answer of the store about the configuration.
	configConfirmedAt atomic.Int64

	mu             sync.Mutex
	ownerAddress   string             // peer address of the owner that this VM follows; empty: none
	lastOwner      string             // the last one that was followed; kept when it is lost
	stopFollowing  context.CancelFunc // interrupts following
	resign         context.CancelFunc // ends this VM's time as the owner; nil: it is none
	electedAt      time.Time
	attachedAt     time.Time
	queueLengths   map[string]int
	queueLengthsAt time.Time
	peers          []string
}

// New wires a node's own parts.
func New(opts Options) *Node {
	n := &Node{opts: opts, started: opts.Owner.Clock(), configurations: newConfigurationCache(opts.Owner.Codec.Configuration, opts.Events)}
	n.advisors = newAdvisorPool(opts.PeerClient, opts.Advisor)
	n.opts.Owner.Advice = n.advisors
	n.opts.Owner.PreviousOwner = n
	n.opts.Owner.Successor = n
	n.breaker = n.newBreaker()
	n.register(opts.PeerServer)
	return n
}

// Run serves until ctx is done, then stops gracefully within the grace time.
func (n *Node) Run(ctx context.Context) error {
	servers := []*http.Server{
		n.newServer(n.opts.CallerAddress, entry.NewHandler(n.opts.Format, n, n.breaker, relayCommitter{n}, n.opts.Events, n.opts.Scope)),
		n.newServer(n.opts.ReadyAddress, http.HandlerFunc(n.serveReady)),
		n.newServer(n.opts.MetricsAddress, n.opts.MetricsHandler),
	}
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	group, groupCtx := errgroup.WithContext(work)
	listener, err := net.Listen("tcp", n.opts.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer listener")
	}
	group.Go(func() error { return n.opts.PeerServer.Serve(groupCtx, listener) })
	var listeners []net.Listener
	for _, s := range servers {
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return errors.Wrap(err, "listener")
		}
		listeners = append(listeners, l)
		group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !n.stopping.Load() {
				return errors.Wrap(err, s.Addr)
			}
			return nil
		})
	}
	group.Go(func() error { n.runElection(groupCtx); return nil })
	group.Go(func() error { n.watchConfiguration(groupCtx); return nil })
	n.opts.Events.Record(event.NodeStarted, n.opts.Name, n.opts.CallerAddress, n.opts.PeerAddress)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	n.shutDown(servers, listeners)
	cancelWork()
	return group.Wait()
}

func (n *Node) newServer(address string, handler http.Handler) *http.Server {
	chain := negroni.New(negroni.NewRecovery())
	chain.UseHandler(handler)
	return &http.Server{Addr: address, Handler: chain, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: n.countConnection}
}

// countConn counts the open connections of all servers.
func (n *Node) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.openConnections.Add(-1)
	}
}

// stop leaves the entry balancer's rotation, hands the authority over, and ends requests
// that are under way; until the end this VM makes calls for advice for the owner. Answers ask callers to close their connections; an idle one is not
// closed from here while there is time, as a request may be on its way.
func (n *Node) shutDown(servers []*http.Server, listeners []net.Listener) {
	begun := time.Now()
	n.opts.Events.Record(event.NodeStopping, n.opts.ShutdownGrace)
	n.stopping.Store(true)
	n.resignOwnership()
	time.Sleep(min(balancerNoticeTime, n.opts.ShutdownGrace/2))
	for _, l := range listeners {
		_ = l.Close()
	}
	deadline := begun.Add(n.opts.ShutdownGrace - exitReserve)
	for n.openConnections.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(connectionCheckInterval)
	}
	for _, s := range servers {
		_ = s.Close() // what is open at the end of the grace time is cut
	}
	n.opts.Events.Record(event.NodeStopped, time.Since(begun))
}

// breaker guards callers' writes; its probe reads the owner's key.
func (n *Node) newBreaker() *entry.CircuitBreaker {
	return entry.NewCircuitBreaker(n.opts.Store, func(ctx context.Context) error {
		_, _, _, err := n.opts.Store.Get(ctx, owner.Key)
		return err
	}, n.opts.Events)
}

// ready answers the entry balancer.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.opts.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if n.stopping.Load() || n.Configuration() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Configuration returns the configuration in force, or nil.
func (n *Node) Configuration() *fleet.Configuration {
	conf, _, _ := n.configurations.snapshot()
	return conf
}

// Stopping reports whether the process is stopping.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Timing of what callers ask about.
const (
	ownerCallTimeout   = 400 * time.Millisecond // of the owner's answer, before the store is asked
	queueLengthsMaxAge = 4 * time.Second        // counts may lag by the visibility bound and 2 s
)

// State asks the owner. The store knows too, a little later. When it does not answer
// either, an owner that has lost the store still knows what it has seen.
func (n *Node) SubmissionState(ctx context.Context, id fleet.JobID) (fleet.State, error) {
	if state, err := n.ownerSubmissionState(ctx, id, false); err == nil && state != fleet.StateUnknown {
		return state, nil
	}
	state, err := n.storedSubmissionState(ctx, id)
	if err != nil {
		if stale, staleErr := n.ownerSubmissionState(ctx, id, true); staleErr == nil && stale != fleet.StateUnknown {
			return stale, nil
		}
	}
	return state, err
}

func (n *Node) storedSubmissionState(ctx context.Context, id fleet.JobID) (fleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return owner.StoredSubmissionState(ctx, n.opts.Store, id)
}

func (n *Node) ownerSubmissionState(ctx context.Context, id fleet.JobID, stale bool) (fleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if o := n.currentOwner.Load(); o != nil && (stale || o.HoldsLease()) {
		return o.SubmissionState(ctx, id)
	}
	n.mu.Lock()
	address := n.ownerAddress
	if stale {
		address = n.lastOwner
	}
	n.mu.Unlock()
	if address == "" {
		return fleet.StateUnknown, errNoOwner
	}
	var reply stateResponse
	err := n.opts.PeerClient.Call(ctx, address, methodState, stateRequest{ID: id, AllowStale: stale}, &reply)
	return reply.State, err
}

var errNoOwner = errors.New("node: no owner is known")

// Waiting returns the owner's count for a queue.
func (n *Node) QueueLength(queue string) (int, bool) {
	if o := n.currentOwner.Load(); o != nil && o.HoldsLease() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
		defer cancel()
		counts, err := o.QueueLengths(ctx)
		return counts[queue], err == nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queueLengthsAt.IsZero() || time.Since(n.queueLengthsAt) > queueLengthsMaxAge {
		return 0, false
	}
	return n.queueLengths[queue], true
}

func (n *Node) currentOwnerAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerAddress
}
