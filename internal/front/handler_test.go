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

// TestRefusals sends requests that are wrong or cannot be served.
func TestRefusals(t *testing.T) {
	keys := newFakeLedger()
	server := newFakeServer(t, "b1", answerPath)
	front := newFront(t, Options{BodyLimit: 4}, keys, server)
	send(t, front, "POST", "/first", "used")
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
		{name: "another's key", path: services, key: "used", status: 422, field: HeaderKey},
		{name: "ledger down", path: services, key: "down", status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.key == "down" {
				keys.down = errors.New("down")
			}
			r, err := http.NewRequest("POST", front.URL+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set(HeaderDeadline, c.deadline)
			r.Header.Set(HeaderKey, c.key)
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			text := new(strings.Builder)
			_ = answer.Write(text)
			if answer.StatusCode != c.status || !strings.Contains(text.String(), c.field) {
				t.Errorf("got %s\nwant %d naming %q", text, c.status, c.field)
			}
			if v := answer.Header.Get(HeaderVerdict); v != "not-run" || server.ran("/x") != 0 {
				t.Errorf("verdict %q after %d runs", v, server.ran("/x"))
			}
		})
	}
}

// TestDrain stops the front with a request in flight: it is answered, a new one is
// refused as not run, and Drain returns only then.
func TestDrain(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		close(started)
		<-finish
		answerPath(w, r, run)
	})
	front := newFront(t, Options{}, newFakeLedger(), server)
	handler := front.Config.Handler.(*Handler)
	verdict := make(chan string, 1)
	go func() {
		v, _, _ := sendPath(front.URL, "POST", "/book", false)
		verdict <- v
	}()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- handler.Drain(t.Context()) }()
	for handler.Ready() {
		time.Sleep(time.Millisecond)
	}
	if v, _, _ := sendPath(front.URL, "POST", "/late", false); v != "not-run" {
		t.Errorf("verdict %q while stopping", v)
	}
	select {
	case err := <-drained:
		t.Error("drained with a request in flight")
		drained <- err
	default:
	}
	close(finish)
	if v := <-verdict; v != "done" {
		t.Errorf("verdict %q of the request in flight", v)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestOverload offers more than the slots can serve in time: what is refused is
// refused at once, as not run and with advice, and is never run.
func TestOverload(t *testing.T) {
	const callers = 64
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		time.Sleep(slowAnswer)
		answerPath(w, r, run)
	})
	front := newFront(t, Options{DefaultDeadline: 3 * slowAnswer}, newFakeLedger(), server)
	sendPath(front.URL, "GET", "/learn", false)
	type result struct{ verdict, path string }
	results := make(chan result, callers)
	for i := range callers {
		path := "/" + strings.Repeat("x", i+1)
		go func() {
			verdict, _, _ := sendPath(front.URL, "POST", path, false)
			results <- result{verdict, path}
		}()
	}
	refused := 0
	for range callers {
		r := <-results
		if r.verdict == "not-run" {
			refused++
		}
		if n := server.ran(r.path); (r.verdict == "not-run" && n != 0) || n > 1 {
			t.Errorf("%s told %q ran %d times", r.path, r.verdict, n)
		}
	}
	if refused == 0 || refused == callers {
		t.Errorf("%d of %d refused", refused, callers)
	}
}

// TestGate seals connections before and after a write.
func TestGate(t *testing.T) {
	sink := &sinkConn{}
	c := &gatedConn{Conn: sink}
	c.begin()
	if _, err := c.Write([]byte("first")); err != nil || c.seal() {
		t.Fatal("a written request was sealed")
	}
	c.begin()
	if !c.seal() {
		t.Fatal("an untouched request was not sealed")
	}
	if _, err := c.Write([]byte("late")); err == nil || sink.String() != "first" {
		t.Fatalf("wrote %q after the seal", sink.String())
	}
}

// TestRetryBudget: retries never exceed the ratio of requests by more than the burst.
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
				proptest.Step()
				if float64(retries) > 10+0.2*float64(requests) {
					t.Fatalf("%d retries of %d requests", retries, requests)
				}
			},
		})
	})
}

// TestNoServer refuses what no backend server serves.
func TestNoServer(t *testing.T) {
	m := backend.NewManager(backend.Options{}, oneVM{}, nil, event.Discard{}, tally.NoopScope)
	var refusal *backend.Rejection
	if _, err := m.Acquire(context.Background(), backend.SlotRequest{Service: "none"}); !errors.As(err, &refusal) {
		t.Fatalf("got %v", err)
	}
}
