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

// Advice to callers on when to come back, where no drain rate is known.
const (
	configurationRetryAfter = time.Second
	overloadRetryAfter      = 200 * time.Millisecond
	drainRetryAfter         = 100 * time.Millisecond
	ledgerRetryAfter        = time.Second
)

// Handler is the http.Handler of callers' requests. Safe for concurrent use.
type Handler struct {
	options         Options
	router          backend.Router
	ledger          ledger.Client
	view            membership.View
	recorder        event.Recorder
	metrics         metrics
	routes          routeTable
	transports      *transportCache
	requestSequence atomic.Int64 // of requests
	inFlight        *semaphore.Weighted
	bufferedBytes   *semaphore.Weighted

	mu           sync.Mutex
	retryBudgets map[string]*RetryBudget // by service
	draining     bool
	active       int           // requests between enter and leave
	drained      chan struct{} // closed when draining and active is 0
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler. The view gives this VM's id and the number of members.
func New(
	options Options,
	router backend.Router,
	keys ledger.Client,
	source model.ConfigurationSource,
	view membership.View,
	recorder event.Recorder,
	scope tally.Scope,
) *Handler {
	h := &Handler{
		options:      options.withDefaults(),
		router:       router,
		ledger:       keys,
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

// memberCount counts the VMs that may hold connections to a backend server.
func (h *Handler) memberCount() int {
	n := 0
	for _, m := range h.view.Members() {
		if m.State != membership.Dead {
			n++
		}
	}
	return max(1, n)
}

// ServeHTTP answers one request with a whole answer or a Problem.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
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
	answer, problem := h.serve(w, in, start, id)
	if problem != nil {
		h.writeProblem(w, problem)
		return
	}
	h.metrics.recordResponse(h.options.Now().Sub(start))
	h.writeResponse(w, in.Method, answer)
}

// serve takes the request whole and forwards it.
func (h *Handler) serve(w http.ResponseWriter, in *http.Request, now time.Time, id string) (*ledger.Answer, *Problem) {
	to, path, problem := h.routes.resolve(in.URL)
	if problem != nil {
		return nil, problem
	}
	deadline, problem := h.options.parseDeadline(now, in.Header.Get(HeaderDeadline))
	if problem != nil {
		return nil, problem
	}
	r := &request{
		id:       id,
		route:    to,
		method:   in.Method,
		target:   path,
		header:   in.Header,
		key:      in.Header.Get(HeaderIdempotencyKey),
		deadline: deadline,
	}
	if in.URL.RawQuery != "" {
		r.target += "?" + in.URL.RawQuery
	}
	room := h.bodyReservation(in)
	if !h.bufferedBytes.TryAcquire(room) {
		return nil, unavailable("too many bytes are held", overloadRetryAfter)
	}
	defer h.bufferedBytes.Release(room)
	if r.body, problem = h.options.readBody(w, in, deadline); problem != nil {
		return nil, problem
	}
	return h.forwardDeduplicated(in.Context(), r)
}

// bodyReservation is how many bytes the body may take.
func (h *Handler) bodyReservation(in *http.Request) int64 {
	if in.ContentLength >= 0 {
		return min(in.ContentLength, h.options.RequestBodyLimit)
	}
	return h.options.RequestBodyLimit
}

// newRequestID returns an id that no other process or start of this one gives.
func (h *Handler) newRequestID() string {
	return string(h.view.Self().ID) + "-" + strconv.FormatInt(h.requestSequence.Add(1), 36)
}

// writeResponse sends the whole answer.
func (h *Handler) writeResponse(w http.ResponseWriter, method string, a *ledger.Answer) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	header.Set(HeaderVerdict, verdict.Done.String())
	if method != http.MethodHead && len(a.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	h.writeWithDeadline(w, func() error {
		w.WriteHeader(a.Status)
		_, err := w.Write(a.Body)
		return err
	})
}

// writeProblem sends the problem.
func (h *Handler) writeProblem(w http.ResponseWriter, p *Problem) {
	h.metrics.countProblem(p)
	h.writeWithDeadline(w, func() error { return p.writeTo(w) })
}

// writeWithDeadline writes to the caller within the time that a slow one is given, and leaves
// the connection without a time limit.
func (h *Handler) writeWithDeadline(w http.ResponseWriter, write func() error) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(h.options.Now().Add(h.options.WriteTimeout)) // not offered by every ResponseWriter
	err := write()
	if err == nil {
		err = control.Flush()
	}
	_ = control.SetWriteDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.recorder.Record(event.CallerGone, w.Header().Get(HeaderRequestID), err.Error())
	}
}

// beginRequest counts a request in, unless the VM is stopping.
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

// Ready reports whether the VM can take requests.
func (h *Handler) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.draining && h.routes.source.InForce() != nil
}

// Drain refuses new requests and waits until those in flight are answered.
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
