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
	"filbertcross/internal/ingress"
)

// fullView is a view whose owner has no memory for more submissions.
type fullView struct {
	fakeView
	state fleet.State // of each submission
}

func (fullView) AdmitMemory(*fleet.Submission) bool { return false }
func (v fullView) SubmissionStatus(context.Context, fleet.JobID) (fleet.Status, error) {
	return fleet.Status{State: v.state}, nil
}

// A submission for which the owner has no memory is refused, but not one that is sent again and stored.
func TestNoMemoryAtTheOwner(t *testing.T) {
	for state, want := range map[fleet.State]int{fleet.StateUnknown: http.StatusServiceUnavailable, fleet.StatePending: http.StatusOK} {
		writes := 0
		store := &fakeStore{respond: func(context.Context, int) error { writes++; return nil }}
		h := NewHandler(testFormat(), AgeLimits{Reject: time.Second, Accept: time.Second}, fullView{state: state}, store, nil, event.Discard{}, tally.NoopScope)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/q/a", strings.NewReader("{}")))
		if w.Code != want || (w.Code == http.StatusServiceUnavailable) != (writes == 0) {
			t.Errorf("state %v: status %d after %d writes, want %d", state, w.Code, writes, want)
		}
	}
}

func testFormat() Format {
	return Format{
		DeadlineHeader: "Deadline-Ms", ValidID: func(string) bool { return true },
		ParseSubmission: func(id string, _ []byte) (fleet.Submission, error) { return fleet.Submission{ID: fleet.JobID(id)}, nil },
		DecodedSize:     func(body []byte) int64 { return int64(len(body)) },
	}
}

// A body that is not read for lack of memory gets 504: status 503 guarantees that the submission never
// runs, but an earlier request with its id, whose response was lost, may have been stored.
func TestStatus504ForBodiesThatAreNotRead(t *testing.T) {
	const memory = 100 // bytes
	guard := ingress.NewGuard(ingress.Options{
		Name: "test", Limits: ingress.Limits{Connections: 4, ArrivalMemory: memory, DecodingMemory: memory},
		HeaderBytes: func() int64 { return 1 << 10 }, Events: event.Discard{}, Scope: tally.NoopScope,
	})
	server := &http.Server{
		Handler:           NewHandler(testFormat(), AgeLimits{Reject: time.Second, Accept: time.Second}, fakeView{}, &fakeStore{}, nil, event.Discard{}, tally.NoopScope),
		ReadHeaderTimeout: time.Minute,
	}
	guard.Install(server)
	l, err := guard.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // returns after Close
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/q/a", strings.NewReader(strings.Repeat(" ", 2*memory)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "example.com"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, Retry-After %q, close %v, want 504 with Retry-After on a connection that closes", response.StatusCode, response.Header.Get("Retry-After"), response.Close)
	}
}
