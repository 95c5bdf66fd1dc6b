package front

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// One server accepts a safe request and never responds. The request is retried on
// the other server and gets its response before the deadline.
func TestSafeRequestIsRetriedAfterStall(t *testing.T) {
	stop := make(chan struct{})
	stalled := newFakeServer(t, "b1", func(_ http.ResponseWriter, r *http.Request, run func()) {
		run()
		<-stop
	})
	defer close(stop)
	front := newTestFront(t, Options{DefaultDeadline: 40 * slowResponseTime}, newFakeLedger(), stalled, newFakeServer(t, "b2", respondWithPath))
	for stalled.executionsOf("/check") == 0 {
		if got := sendRequest(t, front, "GET", "/check", "").Header.Get(HeaderVerdict); got != "done" {
			t.Fatalf("verdict %q", got)
		}
	}
}

// A reused connection breaks after the server ran a safe request, and the server would
// refuse it the next time. The verdict must be may-have-run, since the first transmission
// ran; the transport does not send the request again.
func TestBrokenConnectionBeforeRefusalMayHaveRun(t *testing.T) {
	responders := make(chan func(http.ResponseWriter, *http.Request, func()), 3)
	responders <- respondWithPath
	responders <- resetConnection
	responders <- respondRefused
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		(<-responders)(w, r, run)
	})
	front := newTestFront(t, Options{MaxAttempts: 1}, newFakeLedger(), server)
	sendRequest(t, front, "GET", "/first", "")
	got := sendRequest(t, front, "GET", "/second", "").Header.Get(HeaderVerdict)
	if got != "may-have-run" || server.executionsOf("/second") != 1 || len(responders) != 1 {
		t.Errorf("verdict %q after %d runs, %d responses left; want may-have-run, 1, 1", got, server.executionsOf("/second"), len(responders))
	}
}

// The deadline of a safe request leaves less time than two runs need. The first
// attempt is not abandoned for a second one, which could not finish in time either.
func TestNoAttemptCutShortWithoutTimeForAnother(t *testing.T) {
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		time.Sleep(slowResponseTime)
		respondWithPath(w, r, run)
	})
	front := newTestFront(t, Options{DefaultDeadline: slowResponseTime * 8 / 5}, newFakeLedger(), server)
	for _, path := range []string{"/learn", "/1", "/2", "/3"} {
		sendRequest(t, front, "GET", path, "")
		if n := server.executionsOf(path); n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
}

// A response without the request's id is accepted unless RequireRequestID is set.
func TestResponseWithoutRequestID(t *testing.T) {
	for _, required := range []bool{false, true} {
		server := newFakeServer(t, "b1", respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		front := newTestFront(t, Options{RequireRequestID: required}, newFakeLedger(), server)
		got := sendRequest(t, front, "POST", "/book", "").Header.Get(HeaderVerdict)
		if want := map[bool]string{false: "done", true: "may-have-run"}[required]; got != want {
			t.Errorf("verdict %q with the id required: %v, want %q", got, required, want)
		}
	}
}

// A backend server fails requests in different ways. The verdict must agree with the
// server's count of executions.
func TestVerdictMatchesExecutions(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: ID\r\n"
	type responder = func(http.ResponseWriter, *http.Request, func())
	cases := []struct {
		name    string
		respond responder
		method  string
		verdict string
		runs    int
	}{
		{"complete response", respondWithPath, "POST", "done", 1},
		{"refused by the server", respondRefused, "POST", "not-run", 0},
		{"connection reset without a response", resetConnection, "POST", "may-have-run", 1},
		{"body shorter than content length", respondRaw(head + "Content-Length: 9\r\n\r\nabc"), "POST", "may-have-run", 1},
		{"chunked body truncated", respondRaw(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), "POST", "may-have-run", 1},
		{"body ends with the connection", respondRaw(head + "\r\nabc"), "POST", "may-have-run", 1},
		{"response to another request", respondRaw("HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: x\r\nContent-Length: 0\r\n\r\n"), "POST", "may-have-run", 1},
		{"idempotent method is retried", resetConnection, "PUT", "may-have-run", defaultMaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeServer(t, "b1", c.respond)
			front := newTestFront(t, Options{}, newFakeLedger(), server)
			response := sendRequest(t, front, c.method, "/book", "")
			if got := response.Header.Get(HeaderVerdict); got != c.verdict {
				t.Errorf("verdict %q, want %q", got, c.verdict)
			}
			if got := server.executionsOf("/book"); got != c.runs {
				t.Errorf("ran %d times, want %d", got, c.runs)
			}
			body, _ := io.ReadAll(response.Body)
			if c.verdict == "done" && string(body) != "/book" {
				t.Errorf("body %q, want the path", body)
			}
		})
	}
}
