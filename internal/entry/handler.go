package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"filbertcross/internal/admission"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/ingress"
	"filbertcross/internal/owner"
	"filbertcross/internal/verdict"
)

// Limits of requests and values of responses.
const (
	defaultDeadline = 3 * time.Second // of a request without a deadline header
	maxDeadline     = time.Hour       // of any request
	defaultMaxBody  = 256 << 10       // bytes, unless the configuration sets a limit
	retryAfter      = "1"             // seconds; another VM may serve at once, and an outage lasts seconds
)

// Format is the format of the callers' API, as provided by the platform's adapter.
type Format struct {
	DeadlineHeader    string // name of the header with the milliseconds that the caller waits
	KeyHeader         string // name of the header with the API key
	ValidID           func(id string) bool
	ParseSubmission   func(id string, body []byte) (fleet.Submission, error)
	DecodedSize       func(body []byte) int64 // bytes of memory that a submission takes at most until it is stored
	FormatStatus      func(fleet.Status) ([]byte, error)
	FormatQueueLength func(int) ([]byte, error)
}

// ClusterView provides the state that responses contain, from this VM or from other VMs. It must
// be safe for concurrent use.
type ClusterView interface {
	Configuration() *fleet.Configuration // nil: none yet
	// ConfigurationAge returns the time since the configuration that Configuration then returns was
	// last known to be the newest.
	ConfigurationAge() time.Duration
	// SubmissionStatus queries the owner, or the store if the owner does not respond.
	SubmissionStatus(ctx context.Context, id fleet.JobID) (fleet.Status, error)
	// QueueLength returns the number of waiting submissions; false: it is not known.
	QueueLength(queue string) (int, bool)
	// AdmitSubmission counts a submission of the stream and reports whether it is within the limit of
	// the stream at this VM. If not, retryAfter is the time until the next one will be.
	AdmitSubmission(stream admission.Stream) (retryAfter time.Duration, admitted bool)
	// AdmitMemory counts a submission and reports whether the owner has memory for it.
	AdmitMemory(sub *fleet.Submission) bool
	// NotifyStored notifies the owner of an intake item that was written at a revision.
	NotifyStored(w fleet.Write, revision int64)
	// Stopping reports whether connections must be closed after the response.
	Stopping() bool
}

// Handler serves the callers' API. It is safe for concurrent use.
type Handler struct {
	format  Format
	limits  AgeLimits
	view    ClusterView
	store   Committer
	relay   Committer
	events  event.Recorder
	scope   tally.Scope
	latency tally.Histogram
}

// NewHandler returns a handler whose write attempts alternate between store and relay; relay may be nil.
func NewHandler(format Format, limits AgeLimits, view ClusterView, store, relay Committer, events event.Recorder, scope tally.Scope) *Handler {
	return &Handler{
		format: format, limits: limits, view: view, store: store, relay: relay, events: events, scope: scope,
		latency: scope.Histogram("caller_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)),
	}
}

// ServeHTTP routes by host, prefix and method.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if h.view.Stopping() {
		w.Header().Set("Connection", "close")
	}
	status := h.route(w, r)
	h.latency.RecordDuration(time.Since(start))
	h.scope.Tagged(map[string]string{"method": r.Method, "status": strconv.Itoa(status)}).Counter("caller_answers").Inc(1)
}

func (h *Handler) route(w http.ResponseWriter, r *http.Request) int {
	age := h.view.ConfigurationAge() // before the configuration, which is at least as new
	conf := h.view.Configuration()
	access := authorize(conf, age, h.limits, hostName(r), r.URL.Path, r.Header.Get(h.format.KeyHeader))
	switch access.status {
	case 0:
	case http.StatusServiceUnavailable:
		return h.reject(w, r, "", access.status, access.reason, nil)
	default:
		h.events.Record(event.CallerRequestUnrouted, r.Method, r.Host, r.URL.Path, conf.Version, age, access.status, access.reason)
		return writeResponse(w, access.status, nil)
	}
	queue := access.queue
	id := strings.TrimPrefix(r.URL.Path, queue.Prefix)
	ctx, cancel := context.WithTimeout(r.Context(), h.requestTimeout(r))
	defer cancel()
	switch {
	case r.Method == http.MethodGet && id == "":
		return h.serveQueueLength(w, r, queue)
	case !h.format.ValidID(id):
		h.events.Record(event.SubmissionInvalid, id, queue.Name, "the id is not valid")
		return writeResponse(w, http.StatusBadRequest, []byte(`{"error":"the id is not valid"}`))
	case r.Method == http.MethodGet:
		return h.serveState(ctx, w, r, access.account, fleet.JobID(id))
	case r.Method == http.MethodPost:
		return h.serveSubmit(ctx, w, r, access, conf, id)
	case r.Method == http.MethodDelete:
		return h.serveCancel(ctx, w, r, access.account, fleet.JobID(id))
	}
	w.Header().Set("Allow", "GET, POST, DELETE")
	return writeResponse(w, http.StatusMethodNotAllowed, nil)
}

// hostName returns the Host header without the port.
func hostName(r *http.Request) string {
	name, _, _ := strings.Cut(r.Host, ":")
	return name
}

// requestTimeout returns how long the caller still waits, less the reserve for the response.
func (h *Handler) requestTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(h.format.DeadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return max(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond-responseReserve, responseReserve)
}

func (h *Handler) serveSubmit(ctx context.Context, w http.ResponseWriter, r *http.Request, access access, conf *fleet.Configuration, id string) int {
	queue := access.queue
	limit := conf.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := ingress.ReadBody(ctx, r, limit)
	if err == nil {
		err = ingress.ReserveDecoding(r, h.format.DecodedSize(body))
	}
	if errors.IsAny(err, ingress.ErrOverloaded, ingress.ErrTimeout) {
		// Nothing of this request was stored, but an earlier one with this id may have been.
		w.Header().Set("Connection", "close")
		return h.reject(w, r, id, http.StatusGatewayTimeout, "not read", err)
	}
	if err != nil {
		h.events.Record(event.SubmissionInvalid, id, queue.Name, err)
		return writeResponse(w, http.StatusBadRequest, []byte(`{"error":"the body cannot be read or is too long"}`))
	}
	sub, err := h.format.ParseSubmission(id, body)
	if err != nil {
		h.events.Record(event.SubmissionInvalid, id, queue.Name, err)
		return writeResponse(w, http.StatusBadRequest, []byte(`{"error":`+strconv.Quote(err.Error())+`}`))
	}
	sub.Queue, sub.Service, sub.Account, sub.Received = queue.Name, queue.Service, access.account, time.Now()
	sub.Settings = queue.Settings(conf.Version)
	if account, ok := conf.Accounts.ByName(access.account); ok {
		if err := checkQuota(&sub, account); err != nil {
			h.events.Record(event.SubmissionInvalid, id, queue.Name, err)
			return writeResponse(w, http.StatusBadRequest, []byte(`{"error":`+strconv.Quote(err.Error())+`}`))
		}
	}
	if access.account != "" {
		if retryAfter, admitted := h.view.AdmitSubmission(admission.Stream{Account: access.account, Queue: queue.Name}); !admitted && !h.mayBeStored(ctx, sub.ID) {
			return h.refuseBeyondRate(w, &sub, retryAfter)
		}
	}
	if !h.view.AdmitMemory(&sub) && !h.mayBeStored(ctx, sub.ID) {
		return h.refuseForMemory(w, &sub)
	}
	txn, err := owner.SubmissionTxn(&sub)
	if err != nil {
		return h.reject(w, r, id, http.StatusInternalServerError, "encode", err)
	}
	result := createKey(ctx, h.store, h.relay, txn)
	if result.Stored {
		if other := owner.StoredAccount(result.Existing); !(fleet.Status{Account: other}).VisibleTo(access.account) {
			h.events.Record(event.SubmissionIDTaken, id, access.account, other)
			return writeResponse(w, http.StatusConflict, []byte(`{"error":"another submission has this id"}`))
		}
		h.notifyOwner(txn, result)
		h.events.Record(event.SubmissionAccepted, id, queue.Name, conf.Version, result.Attempts, access.account)
		return writeResponse(w, http.StatusOK, []byte("{}"))
	}
	if result.Verdict == verdict.NotRun && h.isStored(ctx, sub.ID, access.account) {
		h.events.Record(event.SubmissionAccepted, id, queue.Name, conf.Version, result.Attempts, access.account)
		return writeResponse(w, http.StatusOK, []byte("{}"))
	}
	return h.rejectWrite(w, r, id, result)
}

func (h *Handler) serveCancel(ctx context.Context, w http.ResponseWriter, r *http.Request, account string, id fleet.JobID) int {
	txn := owner.CancelTxn(id, account)
	result := createKey(ctx, h.store, h.relay, txn)
	if result.Stored {
		h.notifyOwner(txn, result)
		h.events.Record(event.CancelAccepted, id, result.Attempts)
		return writeResponse(w, http.StatusOK, []byte("{}"))
	}
	return h.rejectWrite(w, r, string(id), result)
}

func (h *Handler) notifyOwner(txn fleet.Txn, result WriteResult) {
	if result.Revision != 0 {
		h.view.NotifyStored(txn.Set[0], result.Revision)
	}
}

// rejectWrite responds to a write that is not known to be stored. Status 503 guarantees that the
// request does not run, so it is used only for writes that are known to have had no effect.
func (h *Handler) rejectWrite(w http.ResponseWriter, r *http.Request, id string, result WriteResult) int {
	status := http.StatusServiceUnavailable
	if result.Verdict == verdict.MayHaveRun {
		status = http.StatusGatewayTimeout
	}
	return h.reject(w, r, id, status, "not stored, "+result.Verdict.String(), result.Err)
}

func (h *Handler) reject(w http.ResponseWriter, r *http.Request, id string, status int, reason string, err error) int {
	h.events.Record(event.CallerRequestFailed, id, r.Method, status, reason, err)
	w.Header().Set("Retry-After", retryAfter)
	return writeResponse(w, status, nil)
}

func (h *Handler) serveState(ctx context.Context, w http.ResponseWriter, r *http.Request, account string, id fleet.JobID) int {
	status, err := h.view.SubmissionStatus(ctx, id)
	if err != nil {
		return h.reject(w, r, string(id), http.StatusServiceUnavailable, "the state is not available", err)
	}
	if status.State == fleet.StateUnknown || !status.VisibleTo(account) {
		h.events.Record(event.SubmissionUnknown, id)
		return writeResponse(w, http.StatusGone, nil)
	}
	body, err := h.format.FormatStatus(status)
	if err != nil {
		return h.reject(w, r, string(id), http.StatusInternalServerError, "encode", err)
	}
	return writeResponse(w, http.StatusOK, body)
}

func (h *Handler) serveQueueLength(w http.ResponseWriter, r *http.Request, queue fleet.Queue) int {
	n, ok := h.view.QueueLength(queue.Name)
	if !ok {
		return h.reject(w, r, "", http.StatusServiceUnavailable, "the queue lengths from the owner are too old", nil)
	}
	body, err := h.format.FormatQueueLength(n)
	if err != nil {
		return h.reject(w, r, "", http.StatusInternalServerError, "encode", err)
	}
	return writeResponse(w, http.StatusOK, body)
}

// writeResponse writes a complete response and returns its status. Write errors are ignored: the
// caller has closed the connection.
func writeResponse(w http.ResponseWriter, status int, body []byte) int {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return status
}
