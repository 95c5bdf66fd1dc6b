package front

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"filbertcross/internal/backend"
	"filbertcross/internal/event"
	"filbertcross/internal/proptest"
)

// Requests that are invalid, or whose key cannot be logged, get an error that names
// the invalid field, and are not run.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	keys := newFakeLedger()
	server := newFakeServer(t, "b1", respondWithPath)
	front := newTestFront(t, Options{RequestBodyLimit: 4}, keys, server)
	sendRequest(t, front, "POST", "/first", "used")
	const services = "/v1/branches/north/services/check/x"
	cases := []struct {
		name, path, body, deadline, key string
		status                          int
		field                           string
	}{
		{name: "branch", path: "/v1/branches/west/services/check/x", status: 404, field: "branch"},
		{name: "service", path: "/v1/branches/north/services/other/x", status: 404, field: "service"},
		{name: "deadline", path: services, deadline: "soon", status: 400, field: HeaderDeadline},
		{name: "past", path: services, deadline: "2001-01-01T00:00:00Z", status: 504, field: HeaderDeadline},
		{name: "large", path: services, body: "12345", status: 413, field: "Content-Length"},
		{name: "another's key", path: services, key: "used", status: 422, field: HeaderIdempotencyKey},
		{name: "ledger down", path: services, key: "down", status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.key == "down" {
				keys.beginErr = errors.New("down")
			}
			r, err := http.NewRequest("POST", front.URL+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set(HeaderDeadline, c.deadline)
			r.Header.Set(HeaderIdempotencyKey, c.key)
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			text := new(strings.Builder)
			_ = response.Write(text)
			if response.StatusCode != c.status || !strings.Contains(text.String(), c.field) {
				t.Errorf("got %s\nwant %d naming %q", text, c.status, c.field)
			}
			if v := response.Header.Get(HeaderVerdict); v != "not-run" || server.executionsOf("/x") != 0 {
				t.Errorf("verdict %q after %d runs, want not-run after 0", v, server.executionsOf("/x"))
			}
		})
	}
}

// While the front drains, a request in flight still gets its response, a new request
// is rejected as not run, and Drain returns only after the response.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		close(started)
		<-finish
		respondWithPath(w, r, run)
	})
	front := newTestFront(t, Options{}, newFakeLedger(), server)
	handler := front.Config.Handler.(*Handler)
	verdict := make(chan string, 1)
	go func() {
		v, _, _ := sendAndReadVerdict(front.URL, "POST", "/book", false)
		verdict <- v
	}()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- handler.Drain(t.Context()) }()
	for handler.Ready() {
		time.Sleep(time.Millisecond)
	}
	if v, _, _ := sendAndReadVerdict(front.URL, "POST", "/late", false); v != "not-run" {
		t.Errorf("verdict %q of a new request while draining, want not-run", v)
	}
	select {
	case err := <-drained:
		t.Error("Drain returned with a request in flight")
		drained <- err
	default:
	}
	close(finish)
	if v := <-verdict; v != "done" {
		t.Errorf("verdict %q of the request in flight, want done", v)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// More requests arrive than the slots can serve before the deadline. Requests with
// the verdict not-run never run, and no request runs twice. Some requests but not
// all are rejected.
func TestOverloadRejectsWithoutRunning(t *testing.T) {
	const callers = 64
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		time.Sleep(slowResponseTime)
		respondWithPath(w, r, run)
	})
	front := newTestFront(t, Options{DefaultDeadline: 3 * slowResponseTime}, newFakeLedger(), server)
	sendAndReadVerdict(front.URL, "GET", "/learn", false)
	type result struct{ verdict, path string }
	results := make(chan result, callers)
	for i := range callers {
		path := "/" + strings.Repeat("x", i+1)
		go func() {
			verdict, _, _ := sendAndReadVerdict(front.URL, "POST", path, false)
			results <- result{verdict, path}
		}()
	}
	rejected := 0
	for range callers {
		r := <-results
		if r.verdict == "not-run" {
			rejected++
		}
		if n := server.executionsOf(r.path); (r.verdict == "not-run" && n != 0) || n > 1 {
			t.Errorf("%s with verdict %q ran %d times", r.path, r.verdict, n)
		}
	}
	if rejected == 0 || rejected == callers {
		t.Errorf("%d of %d requests rejected, want some but not all", rejected, callers)
	}
}

// blockWrites fails after the first write of a request, and prevents the write if it
// comes first.
func TestTrackedConnBlocksWrites(t *testing.T) {
	sink := &recordingConn{}
	c := &trackedConn{Conn: sink}
	c.beginRequest()
	if _, err := c.Write([]byte("first")); err != nil || c.blockWrites() {
		t.Fatal("blockWrites reported no write after the request was written")
	}
	c.beginRequest()
	if !c.blockWrites() {
		t.Fatal("blockWrites failed for a request without a write")
	}
	if _, err := c.Write([]byte("late")); err == nil || sink.String() != "first" {
		t.Fatalf("connection received %q, want no write after blockWrites", sink.String())
	}
}

// Retries never exceed the ratio of requests by more than the burst.
func TestRetryBudget(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget(0.2, 10)
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { requests++; budget.Deposit() },
			"retry": func(*rapid.T) {
				if budget.Withdraw() {
					retries++
				}
			},
			"": func(t *rapid.T) {
				proptest.CountStep()
				if float64(retries) > 10+0.2*float64(requests) {
					t.Fatalf("%d retries of %d requests", retries, requests)
				}
			},
		})
	})
}

// Acquire returns a Rejection for a service without backend servers.
func TestAcquireWithoutServerIsRejected(t *testing.T) {
	m := backend.NewManager(backend.Options{}, singleVMView{}, nil, event.Discard{}, tally.NoopScope)
	var rejection *backend.Rejection
	if _, err := m.Acquire(context.Background(), backend.SlotRequest{Service: "none"}); !errors.As(err, &rejection) {
		t.Fatalf("got %v", err)
	}
}
