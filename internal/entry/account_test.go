package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

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

func serveAccount(store Committer, events event.Recorder, method, key string) *httptest.ResponseRecorder {
	format := Format{
		DeadlineHeader: "Deadline-Ms", KeyHeader: "X-Api-Key", ValidID: func(string) bool { return true },
		ParseSubmission: func(id string, _ []byte) (fleet.Submission, error) { return fleet.Submission{ID: fleet.JobID(id)}, nil },
		FormatState:     func(fleet.State) ([]byte, error) { return []byte("{}"), nil },
	}
	h := NewHandler(format, testLimits, accountView{}, store, nil, events, tally.NoopScope)
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
		if w := serveAccount(exists, &events, c.method, c.key); w.Code != c.status {
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
