package peer

import (
	"context"
	"encoding/json"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/semaphore"

	"filbertcross/internal/event"
	"filbertcross/internal/verdict"
)

// Server serves the calls of other VMs. All handlers must be registered before Serve.
type Server struct {
	opts     Options
	recorder event.Recorder
	started  time.Time
	methods  map[Method]method

	mu             sync.Mutex
	stopping       bool
	conns          map[*jsonrpc2.Conn]struct{}
	unidentified   unidentified
	closeListeners []func()       // cancel functions that close the listeners
	running        sync.WaitGroup // running handlers; added to under mu, only while not stopping
}

type method struct {
	handler Handler
	slots   *semaphore.Weighted // limits the running handlers
}

var _ Registry = (*Server)(nil)

// NewServer returns a Server without handlers.
func NewServer(opts Options, recorder event.Recorder) *Server {
	return &Server{
		opts:     opts.withDefaults(),
		recorder: recorder,
		started:  time.Now(),
		methods:  map[Method]method{},
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
}

// Handle registers the handler of a method. It panics if the method already has one.
func (s *Server) Handle(m Method, h Handler) {
	if _, ok := s.methods[m]; ok {
		panic("peer: duplicate handler for method " + string(m))
	}
	s.methods[m] = method{handler: h, slots: semaphore.NewWeighted(s.opts.MaxHandlersPerMethod)}
}

// Serve accepts connections on l until Shutdown is called or ctx is done, and returns nil
// then. It closes l. It waits for acceptRetryDelay and continues when an accept fails for
// lack of resources.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	s.mu.Lock()
	s.closeListeners = append(s.closeListeners, cancel)
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil && outOfResources(err) {
			s.recorder.Record(event.PeerAcceptFailed, err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return s.acceptError(ctx, err)
		}
		if !s.serveConn(conn) {
			_ = conn.Close()
			return nil
		}
	}
}

// acceptRetryDelay gives connections time to close before the next accept.
const acceptRetryDelay = 50 * time.Millisecond

// outOfResources reports whether accept failed because the process or the machine lacks
// descriptors or memory, or because the client aborted the connection. These errors are
// temporary.
func outOfResources(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED)
}

func (s *Server) acceptError(ctx context.Context, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "peer: accept")
}

// serveConn starts reading requests from conn. It returns false if the server is stopping.
func (s *Server) serveConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	accepted := &inbound{Conn: conn}
	s.unidentified.add(accepted)
	rpc := jsonrpc2.NewConn(context.Background(), newInboundStream(accepted, s.opts), requestHandler{s, accepted}, jsonrpc2.SetLogger(discardLogger{}))
	s.conns[rpc] = struct{}{}
	go func() {
		<-rpc.DisconnectNotify()
		s.unidentified.remove(accepted)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, rpc)
	}()
	return true
}

// Shutdown stops the listeners, rejects new calls, waits until the running handlers have
// responded or ctx is done, and closes the connections. It returns an error if handlers
// are still running when ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	start := time.Now()
	s.mu.Lock()
	s.stopping = true
	for _, cancel := range s.closeListeners {
		cancel()
	}
	s.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		s.running.Wait()
		close(idle)
	}()
	var err error
	select {
	case <-idle:
		s.recorder.Record(event.PeerDrained, time.Since(start))
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "peer: handlers still running")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return err
}

// requestHandler implements jsonrpc2.Handler for one connection.
type requestHandler struct {
	*Server
	inbound *inbound
}

// Handle is called sequentially by the reader of a connection, so it must not block.
func (r requestHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if r.handleRequest(ctx, conn, req) {
		r.inbound.identify()
	}
}

// handleRequest rejects a call or starts its handler in a new goroutine. It reports whether the call is
// one that a VM sends.
func (s *Server) handleRequest(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) bool {
	var meta requestMeta
	if req.Meta == nil || json.Unmarshal(*req.Meta, &meta) != nil {
		s.reject(ctx, conn, req, CodeInvalid, "no deadline")
		return false
	}
	if !s.opts.Clock.Observe(meta.Stamp) {
		s.recorder.Record(event.PeerClockAhead, "caller", meta.Stamp.Time())
	}
	if req.Method == helloMethod {
		s.reply(ctx, conn, req, struct{}{}, nil)
		return true
	}
	m, ok := s.methods[Method(req.Method)]
	switch {
	case !ok:
		s.reject(ctx, conn, req, CodeUnknownMethod, "unknown method "+req.Method)
	case s.now() >= meta.Deadline:
		s.reject(ctx, conn, req, CodeExpired, "arrived after its deadline")
	case !m.slots.TryAcquire(1):
		s.reject(ctx, conn, req, CodeBusy, "too many calls of "+req.Method)
	case !s.addRunning():
		m.slots.Release(1)
		s.reject(ctx, conn, req, CodeStopping, "stopping")
	default:
		go s.runHandler(ctx, conn, req, m, meta.Deadline)
	}
	return true
}

// addRunning counts a running handler. It returns false if the server is stopping.
func (s *Server) addRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.running.Add(1)
	return true
}

func (s *Server) runHandler(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, m method, deadline time.Duration) {
	defer s.running.Done()
	defer m.slots.Release(1)
	ctx, cancel := context.WithDeadline(ctx, s.started.Add(deadline))
	defer cancel()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.callHandler(ctx, req.Method, m, params)
	s.reply(ctx, conn, req, result, err)
}

// callHandler calls the handler. A panic, such as one caused by a malformed request, fails only the
// call.
func (s *Server) callHandler(ctx context.Context, name string, m method, params json.RawMessage) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.recorder.Record(event.PeerHandlerPanicked, name, cause, string(debug.Stack()))
			err = &Error{Code: CodeInternal, Message: "the handler failed", Verdict: verdict.MayHaveRun}
		}
	}()
	return m.handler(ctx, params)
}

func (s *Server) reject(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code Code, message string) {
	s.recorder.Record(event.PeerCallRejected, req.Method, int(code))
	s.reply(ctx, conn, req, nil, &Error{Code: code, Message: message, Verdict: verdict.NotRun})
}

// reply sends the response. If it is too large, an error is sent instead; if sending fails,
// the call times out or its connection is lost.
func (s *Server) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	response := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result = nil
		response.Error = toWireError(err)
	}
	meta, _ := json.Marshal(responseMeta{Clock: s.now(), Stamp: s.opts.Clock.Now()})
	response.Meta = (*json.RawMessage)(&meta)
	sendErr := conn.SendResponse(ctx, response)
	if errors.Is(sendErr, errTooLarge) {
		response.Result = nil
		response.Error = toWireError(&Error{Code: CodeInternal, Message: sendErr.Error(), Verdict: verdict.MayHaveRun})
		_ = conn.SendResponse(ctx, response)
	}
}

// now returns the server's monotonic clock: the time since the Server was created.
func (s *Server) now() time.Duration { return time.Since(s.started) }
