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

	"filbertcross/internal/admission"
	"filbertcross/internal/entry"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/ingress"
	"filbertcross/internal/owner"
	"filbertcross/internal/pause"
	"filbertcross/internal/peer"
	"filbertcross/internal/storehealth"
	"filbertcross/internal/transfer"
)

// Timing of connections and of the shutdown.
const (
	headerTimeout           = 3 * time.Second         // of a caller's request line and headers
	idleTimeout             = 60 * time.Second        // of a caller's connection
	balancerNoticeTime      = 2200 * time.Millisecond // the entry balancer checks every second and removes a VM after two failed checks
	exitReserve             = 600 * time.Millisecond  // part of the shutdown grace time, left for the process to exit
	connectionCheckInterval = 20 * time.Millisecond
	defaultMaxHeader        = 16 << 10 // bytes of a request's head, unless the configuration sets a limit
)

// Options are the dependencies and settings of a Node.
type Options struct {
	Name           string
	PeerAddress    string
	CallerAddress  string
	CallerLimits   ingress.Limits // of the clients at CallerAddress together
	ReadyAddress   string
	ReadyPath      string
	MetricsAddress string
	ShutdownGrace  time.Duration
	// SubmissionMemory is what the submissions may take in bytes while this VM is the owner.
	SubmissionMemory int64
	ElectionDelay    time.Duration // before this VM campaigns; longer for small VMs
	Incarnation      string
	Store            fleet.Store
	AdviceClient     fleet.AdviceClient
	Owner            owner.Options // New sets Advice, PreviousOwner, Successor and Configuration
	Format           entry.Format
	AgeLimits        entry.AgeLimits // of the configuration by which callers are answered
	Events           event.Recorder
	Scope            tally.Scope
	MetricsHandler   http.Handler
	PeerServer       *peer.Server
	PeerClient       peer.Caller
}

// Node is the process of an entry VM. The fields below mu are guarded by it. The exported methods
// are safe for concurrent use; Run is called once.
type Node struct {
	opts              Options
	started           time.Duration // clock reading at New
	configurations    *configurationCache
	storeReads        *readSeries // of the configuration
	ownerReads        *readSeries
	advisors          *advisorPool
	storeAnswers      pause.Signal         // when the store answers again after an outage
	storeHealth       *storehealth.Monitor // passes writes of callers of this VM, and writes relayed for other VMs
	stopping          atomic.Bool
	currentOwner      atomic.Pointer[owner.Owner]
	lostOwnerRevision int64        // revision of the key of the last lost owner; only for the goroutine of runElection
	takeoverRevision  atomic.Int64 // revision of the key of an owner that handed over to this VM; 0: none
	openConnections   atomic.Int64 // of callers and of the platform
	// configConfirmedAt is the clock reading of the last successful read of the configuration.
	configConfirmedAt atomic.Int64
	// configNewestAt is the clock reading at which the active configuration was last known to be the
	// newest of the store; 0: not yet.
	configNewestAt atomic.Int64
	// ownerReadAt is the clock reading at which the owner that this VM follows, or the last one, is known
	// to have read the configuration; 0: never.
	ownerReadAt atomic.Int64
	// operatorRevision is the store's revision up to which this VM has the configuration; 0: none.
	operatorRevision     atomic.Int64
	configReadSuperseded chan struct{} // interrupts watchConfiguration's wait for a read
	transfer             configurationTransfer
	sender               transfer.Sender // of the configuration to followers
	gate                 admission.Gate  // of the submissions that arrive at this VM
	divider              admission.Divider
	room                 admission.RoomGate // for submissions that arrive at this VM

	mu             sync.Mutex
	ownerAddress   string             // peer address of the owner that this VM follows; "": none
	lastOwner      string             // peer address of the last owner that this VM followed; retained when it is lost
	stopFollowing  context.CancelFunc // interrupts the current election round
	resign         context.CancelFunc // ends this VM's ownership; nil: it is not the owner
	electedAt      time.Time
	attachedAt     time.Time
	queueLengths   map[string]int
	queueLengthsAt time.Time
	peers          []string
}

// New returns a node. It registers the handlers of the calls between VMs at opts.PeerServer.
func New(opts Options) *Node {
	n := &Node{opts: opts, started: opts.Owner.Clock(), configurations: newConfigurationCache(opts.Owner.Codec.Configuration, opts.Events, opts.Scope)}
	n.room.Set(admission.PartOfRoom(opts.SubmissionMemory, 0, 1)) // until an owner reports
	n.configReadSuperseded = make(chan struct{}, 1)
	n.storeReads = newReadSeries(sourceStore, opts.Events, opts.Scope)
	n.ownerReads = newReadSeries(sourceOwner, opts.Events, opts.Scope)
	n.advisors = newAdvisorPool(opts.PeerClient, opts.AdviceClient)
	n.opts.Owner.Advice = n.advisors
	n.opts.Owner.PreviousOwner = n
	n.opts.Owner.Successor = n
	n.opts.Owner.Configuration = n
	n.storeHealth = n.newStoreMonitor()
	n.register(opts.PeerServer)
	return n
}

// Run serves until ctx is done or a server fails, then shuts down within the grace time. It returns
// the error of the failed server.
func (n *Node) Run(ctx context.Context) error {
	callers := entry.NewHandler(n.opts.Format, n.opts.AgeLimits, n, n.storeHealth, relayCommitter{n}, n.opts.Events, n.opts.Scope)
	servers := []*guardedServer{
		n.newServer("callers", n.opts.CallerAddress, n.opts.CallerLimits, callers),
		n.newServer("readiness", n.opts.ReadyAddress, ingress.AuxiliaryLimits(), http.HandlerFunc(n.serveReady)),
		n.newServer("metrics", n.opts.MetricsAddress, ingress.AuxiliaryLimits(), n.opts.MetricsHandler),
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	group, groupCtx := errgroup.WithContext(workCtx)
	listener, err := net.Listen("tcp", n.opts.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	group.Go(func() error { return n.opts.PeerServer.Serve(groupCtx, listener) })
	var listeners []net.Listener
	for _, s := range servers {
		l, err := s.guard.Listen(s.Addr)
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

// guardedServer is an HTTP server whose clients are bounded.
type guardedServer struct {
	http.Server
	guard *ingress.Guard
}

func (n *Node) newServer(name, address string, limits ingress.Limits, handler http.Handler) *guardedServer {
	chain := negroni.New(negroni.NewRecovery())
	chain.UseHandler(handler)
	s := &guardedServer{guard: ingress.NewGuard(ingress.Options{
		Name: name, Limits: limits, HeaderBytes: n.maxHeaderBytes, Events: n.opts.Events, Scope: n.opts.Scope,
	})}
	s.Addr, s.Handler, s.ReadHeaderTimeout, s.IdleTimeout, s.ConnState = address, chain, headerTimeout, idleTimeout, n.countConnection
	s.guard.Install(&s.Server)
	return s
}

// maxHeaderBytes returns the maximum size of a request's head in bytes, from the configuration.
func (n *Node) maxHeaderBytes() int64 {
	if conf := n.Configuration(); conf != nil && conf.MaxHeader > 0 {
		return conf.MaxHeader
	}
	return defaultMaxHeader
}

// countConnection counts the open connections of all servers.
func (n *Node) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.openConnections.Add(-1)
	}
}

// shutDown makes the entry balancer's checks fail, gives up ownership, and waits for requests in
// flight. Until the process exits, this VM makes calls for placement advice on behalf of the owner. Responses request
// that callers close their connections; idle connections are closed from here only at the end of
// the grace time, as a request may be in transit.
func (n *Node) shutDown(servers []*guardedServer, listeners []net.Listener) {
	start := time.Now()
	n.opts.Events.Record(event.NodeStopping, n.opts.ShutdownGrace)
	n.stopping.Store(true)
	deadline := start.Add(n.opts.ShutdownGrace - exitReserve)
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		n.resignOwnership(deadline)
	}()
	time.Sleep(min(balancerNoticeTime, n.opts.ShutdownGrace/2))
	for _, l := range listeners {
		_ = l.Close()
	}
	for n.openConnections.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(connectionCheckInterval)
	}
	<-resigned
	for _, s := range servers {
		_ = s.Close() // closes the connections still open at the end of the grace time
	}
	n.opts.Events.Record(event.NodeStopped, time.Since(start))
}

// newStoreMonitor returns the monitor for callers' writes; its probe reads the owner key. When the
// store answers again, the election does not wait for its reads in flight, which have no response.
func (n *Node) newStoreMonitor() *storehealth.Monitor {
	return storehealth.NewMonitor(n.opts.Store, func(ctx context.Context) error {
		_, _, _, err := n.opts.Store.Get(ctx, owner.Key)
		return err
	}, n.storeAnswers.Broadcast, n.opts.Events)
}

// serveReady handles the health check of the entry balancer.
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

// Configuration returns the active configuration, or nil if there is none yet.
func (n *Node) Configuration() *fleet.Configuration {
	conf, _, _ := n.configurations.snapshot()
	return conf
}

// Stopping reports whether the process is stopping.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Timing of requests for state.
const (
	ownerCallTimeout   = 400 * time.Millisecond // of a call to the owner, before the store is read
	queueLengthsMaxAge = 4 * time.Second        // queue lengths may lag by the visibility bound and 2 s
)

// SubmissionStatus implements entry.ClusterView. It queries the owner, then the store, whose state
// lags a little behind. If the store does not answer either, it accepts the possibly stale state
// of an owner that has lost the store.
func (n *Node) SubmissionStatus(ctx context.Context, id fleet.JobID) (fleet.Status, error) {
	if status, err := n.ownerSubmissionStatus(ctx, id, false); err == nil && status.State != fleet.StateUnknown {
		return status, nil
	}
	status, err := fleet.Status{}, errStoreUnavailable
	if n.storeHealth.Available() {
		status, err = n.storedSubmissionStatus(ctx, id)
	}
	if err != nil {
		if stale, staleErr := n.ownerSubmissionStatus(ctx, id, true); staleErr == nil && stale.State != fleet.StateUnknown {
			return stale, nil
		}
	}
	return status, err
}

func (n *Node) storedSubmissionStatus(ctx context.Context, id fleet.JobID) (fleet.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return owner.StoredSubmissionStatus(ctx, n.opts.Store, id)
}

// ownerSubmissionStatus queries the owner. With allowStale it accepts the state of an owner whose
// lease may have expired.
func (n *Node) ownerSubmissionStatus(ctx context.Context, id fleet.JobID, allowStale bool) (fleet.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if o := n.currentOwner.Load(); o != nil && (allowStale || o.HoldsLease()) {
		return o.SubmissionStatus(ctx, id)
	}
	n.mu.Lock()
	address := n.ownerAddress
	if allowStale {
		address = n.lastOwner
	}
	n.mu.Unlock()
	if address == "" {
		return fleet.Status{}, errNoOwner
	}
	var reply stateResponse
	err := n.opts.PeerClient.Call(ctx, address, methodState, stateRequest{ID: id, AllowStale: allowStale}, &reply)
	return fleet.Status{State: reply.State, Account: reply.Account, Cause: reply.Cause}, err
}

var (
	errNoOwner          = errors.New("node: no owner is known")
	errStoreUnavailable = errors.New("node: the store does not answer this VM")
)

// QueueLength implements entry.ClusterView with the number that the owner counts.
func (n *Node) QueueLength(queue string) (int, bool) {
	if o := n.currentOwner.Load(); o != nil && o.HoldsLease() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
		defer cancel()
		load, err := o.Load(ctx)
		return load.QueueLengths[queue], err == nil
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
