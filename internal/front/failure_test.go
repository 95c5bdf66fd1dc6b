package front

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestStalledServer leaves a safe request without an answer on one server: it is
// answered by the other one in time.
func TestStalledServer(t *testing.T) {
	stop := make(chan struct{})
	stalled := newFakeServer(t, "b1", func(_ http.ResponseWriter, r *http.Request, run func()) {
		run()
		<-stop
	})
	defer close(stop)
	front := newFront(t, Options{DefaultDeadline: 40 * slowAnswer}, newFakeLedger(), stalled, newFakeServer(t, "b2", answerPath))
	for stalled.ran("/check") == 0 {
		if got := send(t, front, "GET", "/check", "").Header.Get(HeaderVerdict); got != "done" {
			t.Fatalf("verdict %q", got)
		}
	}
}

// TestRefusalAfterReplay breaks a reused connection under a safe request, which the
// transport sends again by itself, and refuses that second sending: the first ran.
func TestRefusalAfterReplay(t *testing.T) {
	behaviours := make(chan func(http.ResponseWriter, *http.Request, func()), 3)
	behaviours <- answerPath
	behaviours <- reset
	behaviours <- refuse
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		(<-behaviours)(w, r, run)
	})
	front := newFront(t, Options{MaxAttempts: 1}, newFakeLedger(), server)
	send(t, front, "GET", "/first", "")
	got := send(t, front, "GET", "/second", "").Header.Get(HeaderVerdict)
	if got != "may-have-run" || server.ran("/second") != 1 || len(behaviours) != 0 {
		t.Errorf("verdict %q after %d runs, %d behaviours left", got, server.ran("/second"), len(behaviours))
	}
}

// TestHalfTimeIsAmple sends a safe request with less time than two runs need: it is
// not given up for a second run, which could not be in time either.
func TestHalfTimeIsAmple(t *testing.T) {
	server := newFakeServer(t, "b1", func(w http.ResponseWriter, r *http.Request, run func()) {
		time.Sleep(slowAnswer)
		answerPath(w, r, run)
	})
	front := newFront(t, Options{DefaultDeadline: slowAnswer * 8 / 5}, newFakeLedger(), server)
	for _, path := range []string{"/learn", "/1", "/2", "/3"} {
		send(t, front, "GET", path, "")
		if n := server.ran(path); n > 1 {
			t.Errorf("%s ran %d times", path, n)
		}
	}
}

// TestAnswerWithoutID answers without the request's id: taken or refused as set.
func TestAnswerWithoutID(t *testing.T) {
	for _, required := range []bool{false, true} {
		server := newFakeServer(t, "b1", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		front := newFront(t, Options{RequireRequestID: required}, newFakeLedger(), server)
		got := send(t, front, "POST", "/book", "").Header.Get(HeaderVerdict)
		if want := map[bool]string{false: "done", true: "may-have-run"}[required]; got != want {
			t.Errorf("verdict %q with the id required: %v, want %q", got, required, want)
		}
	}
}

// TestVerdicts breaks requests in each way on the first backend server tried and
// compares the verdict with the servers' own count of executions.
func TestVerdicts(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: ID\r\n"
	type behaviour = func(http.ResponseWriter, *http.Request, func())
	cases := []struct {
		name    string
		behave  behaviour
		method  string
		verdict string
		runs    int
	}{
		{"whole answer", answerPath, "POST", "done", 1},
		{"refused by the server", refuse, "POST", "not-run", 0},
		{"reset without an answer", reset, "POST", "may-have-run", 1},
		{"content length cut", raw(head + "Content-Length: 9\r\n\r\nabc"), "POST", "may-have-run", 1},
		{"chunks cut", raw(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), "POST", "may-have-run", 1},
		{"no framing", raw(head + "\r\nabc"), "POST", "may-have-run", 1},
		{"another's answer", raw("HTTP/1.1 200 OK\r\nFilbertcross-Request-Id: x\r\nContent-Length: 0\r\n\r\n"), "POST", "may-have-run", 1},
		{"idempotent is sent again", reset, "PUT", "may-have-run", defaultMaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeServer(t, "b1", c.behave)
			front := newFront(t, Options{}, newFakeLedger(), server)
			answer := send(t, front, c.method, "/book", "")
			if got := answer.Header.Get(HeaderVerdict); got != c.verdict {
				t.Errorf("verdict %q, want %q", got, c.verdict)
			}
			if got := server.ran("/book"); got != c.runs {
				t.Errorf("ran %d times, want %d", got, c.runs)
			}
			body, _ := io.ReadAll(answer.Body)
			if c.verdict == "done" && string(body) != "/book" {
				t.Errorf("answer %q", body)
			}
		})
	}
}
