package front

import (
	"io"
	"net/http"
	"testing"
)

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
