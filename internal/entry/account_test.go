package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/admission"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
)

// accountView has accountConfiguration, and one submission of account a.
type accountView struct{ fakeView }

func (accountView) Configuration() *fleet.Configuration { return accountConfiguration() }
func (accountView) SubmissionStatus(context.Context, fleet.JobID) (fleet.Status, error) {
	return fleet.Status{State: fleet.StateRunning, Account: "a"}, nil
}

// keyRecorder records the values of all events, to search them for keys.
type keyRecorder struct{ text strings.Builder }

func (r *keyRecorder) Record(d *event.Definition, values ...any) {
	for _, v := range values {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		r.text.WriteString(d.Name + " ")
		if s, ok := v.(string); ok {
			r.text.WriteString(s + " ")
		}
	}
}

func serveAccount(view ClusterView, store Committer, events event.Recorder, method, key string) *httptest.ResponseRecorder {
	format := Format{
		DeadlineHeader: "Deadline-Ms", KeyHeader: "X-Api-Key", ValidID: func(string) bool { return true },
		ParseSubmission: func(id string, _ []byte) (fleet.Submission, error) { return fleet.Submission{ID: fleet.JobID(id)}, nil },
		DecodedSize:     func(body []byte) int64 { return int64(len(body)) },
		FormatStatus:    func(fleet.Status) ([]byte, error) { return []byte("{}"), nil },
	}
	h := NewHandler(format, testLimits, view, store, nil, events, tally.NoopScope)
	r := httptest.NewRequest(method, "http://example.com/keyed/1", strings.NewReader("{}"))
	r.Header.Set("X-Api-Key", key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against an account that learns of, or takes for its own, the submission of another.
func TestSubmissionIsVisibleOnlyToItsAccount(t *testing.T) {
	stored, err := owner.SubmissionTxn(&fleet.Submission{ID: "1", Account: "a", Received: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	exists := &fakeStore{respond: func(context.Context, int) error {
		return &fleet.ConflictError{Current: []fleet.Item{{Key: stored.Set[0].Key, Value: stored.Set[0].Value}}}
	}}
	for _, c := range []struct {
		method, key string
		status      int
	}{
		{http.MethodGet, "key-a", http.StatusOK},
		{http.MethodGet, "key-b", http.StatusGone},
		{http.MethodGet, "other", http.StatusUnauthorized},
		{http.MethodPost, "key-a", http.StatusOK}, // sent again
		{http.MethodPost, "key-b", http.StatusConflict},
	} {
		var events keyRecorder
		if w := serveAccount(accountView{}, exists, &events, c.method, c.key); w.Code != c.status {
			t.Errorf("%s with %s: %d, want %d", c.method, c.key, w.Code, c.status)
		}
		if strings.Contains(events.text.String(), c.key) {
			t.Errorf("an event contains the key %s: %s", c.key, events.text.String())
		}
	}
}

// Guards against a cancellation that takes the place of another account's.
func TestCancellationIsStoredForItsAccount(t *testing.T) {
	keys := map[string]bool{}
	for _, account := range []string{"", "a", "b"} {
		keys[owner.CancelTxn("1", account).Set[0].Key] = true
	}
	if len(keys) != 3 {
		t.Fatalf("keys %v, want one for each account", keys)
	}
}

// limitedView refuses all submissions; those that it knows have been stored before.
type limitedView struct {
	accountView
	state fleet.State
	err   error
}

func (limitedView) AdmitSubmission(admission.Stream) (time.Duration, bool) {
	return 1500 * time.Millisecond, false
}
func (v limitedView) SubmissionStatus(context.Context, fleet.JobID) (fleet.Status, error) {
	return fleet.Status{State: v.state, Account: "a"}, v.err
}

// Guards against a refusal that says of a submission whose first response was lost that it never
// runs, and against one after the write.
func TestRefusalIsSaidOnlyOfASubmissionThatIsNotStored(t *testing.T) {
	for _, c := range []struct {
		name   string
		view   limitedView
		status int
		writes int
	}{
		{"new", limitedView{}, http.StatusTooManyRequests, 0},
		{"stored before", limitedView{state: fleet.StatePending}, http.StatusOK, 1},
		{"not known", limitedView{err: context.DeadlineExceeded}, http.StatusOK, 1},
	} {
		store := &fakeStore{respond: func(context.Context, int) error { return nil }}
		w := serveAccount(c.view, store, event.Discard{}, http.MethodPost, "key-a")
		if w.Code != c.status || store.calls != c.writes || c.status == http.StatusTooManyRequests && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: status %d, %d writes, Retry-After %q; want %d and %d writes", c.name, w.Code, store.calls, w.Header().Get("Retry-After"), c.status, c.writes)
		}
	}
}

// Guards against a caller who is told that its submission never runs, although an earlier attempt
// whose response was lost has stored it.
func TestRejectedWriteOfAStoredSubmissionIsNotReportedAsNeverRun(t *testing.T) {
	rejects := &fakeStore{respond: func(context.Context, int) error { return errNotRun }}
	if w := serveAccount(accountView{}, rejects, event.Discard{}, http.MethodPost, "key-a"); w.Code != http.StatusOK {
		t.Errorf("%d for a submission that the owner knows, want 200", w.Code)
	}
	if w := serveAccount(accountView{}, rejects, event.Discard{}, http.MethodPost, "key-b"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("%d for the id of another account's submission, want 503", w.Code)
	}
}

// Load: a refused crowd. It is told to return spread over as long as it has to wait.
func TestRefusedCallersReturnSpread(t *testing.T) {
	counts := map[int]int{}
	for i := range 1000 {
		counts[retrySeconds(fmt.Sprintf("%016x", i), 4*time.Second)]++
	}
	for seconds := 5; seconds <= 8; seconds++ {
		if counts[seconds] < 150 {
			t.Errorf("%d of 1000 return after %d s, want about a quarter: %v", counts[seconds], seconds, counts)
		}
	}
	if counts[3] > 0 || counts[9] > 0 {
		t.Errorf("some return too early or too late: %v", counts)
	}
}
