package front

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"filbertcross/internal/backend"
	"filbertcross/internal/event"
	"filbertcross/internal/ledger"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Retry delays suggested to callers where no queue drain rate is known.
const (
	configurationRetryAfter = time.Second
	overloadRetryAfter      = 200 * time.Millisecond
	drainRetryAfter         = 100 * time.Millisecond
	ledgerRetryAfter        = time.Second
)

// Handler serves the HTTP requests of callers. Safe for concurrent use.
type Handler struct {
	options         Options
	router          backend.Router
	ledger          ledger.Client
	view            membership.View
	recorder        event.Recorder
	metrics         metrics
	routes          routeTable
	transports      *transportCache
	requestSequence atomic.Int64 // numbers the request ids
	inFlight        *semaphore.Weighted
	bufferedBytes   *semaphore.Weighted

	mu           sync.Mutex
	retryBudgets map[string]*RetryBudget // by service
	draining     bool
	active       int           // requests between beginRequest and endRequest
	drained      chan struct{} // closed when draining and active is 0
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler. view supplies this VM's id and the number of VMs that
// share the connections to a backend server.
func New(
	options Options,
	router backend.Router,
	ledgerClient ledger.Client,
	source model.ConfigurationSource,
	view membership.View,
	recorder event.Recorder,
	scope tally.Scope,
) *Handler {
	h := &Handler{
		options:      options.withDefaults(),
		router:       router,
		ledger:       ledgerClient,
		view:         view,
		recorder:     recorder,
		metrics:      newMetrics(scope.SubScope("front")),
		routes:       routeTable{source: source},
		retryBudgets: make(map[string]*RetryBudget),
		drained:      make(chan struct{}),
	}
	h.transports = newTransportCache(&h.options, h.memberCount)
	h.inFlight = semaphore.NewWeighted(int64(h.options.MaxInFlight))
	h.bufferedBytes = semaphore.NewWeighted(h.options.MaxBufferedBytes)
	return h
}

// memberCount returns the number of VMs that may hold connections to a backend
// server: all that are not dead, and at least 1.
func (h *Handler) memberCount() int {
	n := 0
	for _, m := range h.view.Members() {
		if m.State != membership.Dead {
			n++
		}
	}
	return max(1, n)
}

// ServeHTTP responds with the complete response of a backend server or with a Problem.
func (h *Handler) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	start := h.options.Now()
	id := h.newRequestID()
	w.Header().Set(HeaderRequestID, id)
	if !h.beginRequest() {
		h.writeProblem(w, unavailable("the VM is stopping", drainRetryAfter))
		return
	}
	defer h.endRequest()
	if !h.inFlight.TryAcquire(1) {
		h.writeProblem(w, unavailable("too many requests are held", overloadRetryAfter))
		return
	}
	defer h.inFlight.Release(1)
	response, problem := h.serve(w, incoming, start, id)
	if problem != nil {
		h.writeProblem(w, problem)
		return
	}
	h.metrics.recordResponse(h.options.Now().Sub(start))
	h.writeResponse(w, incoming.Method, response)
}

// serve reads the complete request and forwards it.
func (h *Handler) serve(w http.ResponseWriter, incoming *http.Request, now time.Time, id string) (*ledger.Response, *Problem) {
	destination, path, problem := h.routes.resolve(incoming.URL)
	if problem != nil {
		return nil, problem
	}
	deadline, problem := h.options.parseDeadline(now, incoming.Header.Get(HeaderDeadline))
	if problem != nil {
		return nil, problem
	}
	r := &request{
		id:       id,
		route:    destination,
		method:   incoming.Method,
		target:   path,
		header:   incoming.Header,
		key:      incoming.Header.Get(HeaderIdempotencyKey),
		deadline: deadline,
	}
	if incoming.URL.RawQuery != "" {
		r.target += "?" + incoming.URL.RawQuery
	}
	reservation := h.bodyReservation(incoming)
	if !h.bufferedBytes.TryAcquire(reservation) {
		return nil, unavailable("too many bytes are held", overloadRetryAfter)
	}
	defer h.bufferedBytes.Release(reservation)
	if r.body, problem = h.options.readBody(w, incoming, deadline); problem != nil {
		return nil, problem
	}
	return h.forwardDeduplicated(incoming.Context(), r)
}

// bodyReservation returns how many buffer bytes to reserve for the body: its
// declared length up to the limit, or the limit if the length is unknown.
func (h *Handler) bodyReservation(incoming *http.Request) int64 {
	if incoming.ContentLength >= 0 {
		return min(incoming.ContentLength, h.options.RequestBodyLimit)
	}
	return h.options.RequestBodyLimit
}

// newRequestID returns an id that is unique across VMs and across restarts of a VM.
func (h *Handler) newRequestID() string {
	return string(h.view.Self().ID) + "-" + strconv.FormatInt(h.requestSequence.Add(1), 36)
}

// writeResponse sends a backend server's response to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, method string, response *ledger.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(HeaderVerdict, verdict.Done.String())
	if method != http.MethodHead && len(response.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	h.writeWithDeadline(w, func() error {
		w.WriteHeader(response.Status)
		_, err := w.Write(response.Body)
		return err
	})
}

// writeProblem sends the problem to the caller and counts it.
func (h *Handler) writeProblem(w http.ResponseWriter, p *Problem) {
	h.metrics.countProblem(p)
	h.writeWithDeadline(w, func() error { return p.writeTo(w) })
}

// writeWithDeadline calls write with the write timeout set on the caller's
// connection, and clears the deadline for later requests on the connection.
func (h *Handler) writeWithDeadline(w http.ResponseWriter, write func() error) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(h.options.Now().Add(h.options.WriteTimeout)) // not every ResponseWriter supports deadlines
	err := write()
	if err == nil {
		err = control.Flush()
	}
	_ = control.SetWriteDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.recorder.Record(event.CallerDisconnected, w.Header().Get(HeaderRequestID), err.Error())
	}
}

// beginRequest counts a request as active. It returns false while the VM is draining.
func (h *Handler) beginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.active++
	return true
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	if h.draining && h.active == 0 {
		close(h.drained)
	}
}

// Ready reports whether the VM accepts requests: it is not draining and has an
// active configuration.
func (h *Handler) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.draining && h.routes.source.Active() != nil
}

// Drain rejects new requests and waits until those in flight have their
// responses. It returns the error of ctx if that ends first.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.active == 0 {
			close(h.drained)
		}
	}
	h.mu.Unlock()
	select {
	case <-h.drained:
		h.transports.closeIdle()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
