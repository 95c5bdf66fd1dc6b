package front

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestSafeRequestIsRetriedAfterStall leaves a safe request without an answer on one server: it is
// answered by the other one in time.
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

// TestRefusedTransportReplayMayHaveRun breaks a reused connection under a safe request, which the
// transport sends again by itself, and refuses that second sending: the first ran.
func TestRefusedTransportReplayMayHaveRun(t *testing.T) {
	behaviours := make(chan func(http.ResponseWriter, *http.Request, func()), 3)
	behaviours <- respondWithPath
	behaviours <- resetConnection
	behaviours <- respondRefused
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		(<-behaviours)(w, r, run)
	})
	front := newTestFront(t, Options{MaxAttempts: 1}, newFakeLedger(), server)
	sendRequest(t, front, "GET", "/first", "")
	got := sendRequest(t, front, "GET", "/second", "").Header.Get(HeaderVerdict)
	if got != "may-have-run" || server.executionsOf("/second") != 1 || len(behaviours) != 0 {
		t.Errorf("verdict %q after %d runs, %d behaviours left", got, server.executionsOf("/second"), len(behaviours))
	}
}

// TestNoAttemptCutShortWithoutTimeForAnother sends a safe request with less time than two runs need: it is
// not given up for a second run, which could not be in time either.
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

// TestResponseWithoutRequestID answers without the request's id: taken or refused as set.
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

// TestVerdictMatchesExecutions breaks requests in each way on the first backend server tried and
// compares the verdict with the servers' own count of executions.
func TestVerdictMatchesExecutions(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: ID\r\n"
	type behaviour = func(http.ResponseWriter, *http.Request, func())
	cases := []struct {
		name    string
		behave  behaviour
		method  string
		verdict string
		runs    int
	}{
		{"whole answer", respondWithPath, "POST", "done", 1},
		{"refused by the server", respondRefused, "POST", "not-run", 0},
		{"reset without an answer", resetConnection, "POST", "may-have-run", 1},
		{"content length cut", respondRaw(head + "Content-Length: 9\r\n\r\nabc"), "POST", "may-have-run", 1},
		{"chunks cut", respondRaw(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), "POST", "may-have-run", 1},
		{"no framing", respondRaw(head + "\r\nabc"), "POST", "may-have-run", 1},
		{"another's answer", respondRaw("HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: x\r\nContent-Length: 0\r\n\r\n"), "POST", "may-have-run", 1},
		{"idempotent is sent again", resetConnection, "PUT", "may-have-run", defaultMaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeServer(t, "b1", c.behave)
			front := newTestFront(t, Options{}, newFakeLedger(), server)
			answer := sendRequest(t, front, c.method, "/book", "")
			if got := answer.Header.Get(HeaderVerdict); got != c.verdict {
				t.Errorf("verdict %q, want %q", got, c.verdict)
			}
			if got := server.executionsOf("/book"); got != c.runs {
				t.Errorf("ran %d times, want %d", got, c.runs)
			}
			body, _ := io.ReadAll(answer.Body)
			if c.verdict == "done" && string(body) != "/book" {
				t.Errorf("answer %q", body)
			}
		})
	}
}
