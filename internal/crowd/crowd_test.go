package crowd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertcross/platform/standin"
)

// Size of a crowd, and limits of the callers' API.
const (
	crowdSize    = 400
	maxBodyBytes = 262_144
	endlessBytes = 4 * mebibyte // that a client sends of what has no end
	sendTimeout  = 20 * time.Second
	dwellTime    = 2 * time.Second // for which the process is observed once the clients have sent everything
	// persistentClients and persistTime are those of clients that submit without end.
	persistentClients = 20
	persistTime       = 10 * time.Second
	returnsPerSeat    = 4 // connections that a client opens, one after another, if it returns
)

// client is one client of a crowd: it sends what it has to say on a connection and reads nothing.
// An error ends it, as the server may close the connection.
type client func(conn net.Conn) error

// gather runs a crowd against an address. It returns dwellTime after each client has sent everything, or
// its connection was closed or took no more; the connections stay open until the test ends.
func gather(t *testing.T, address string, act client) {
	t.Helper()
	var crowd sync.WaitGroup
	for range crowdSize {
		crowd.Go(func() { visit(t, address, act) })
	}
	crowd.Wait()
	time.Sleep(dwellTime)
}

// gatherReturning is gather with clients that come back as soon as their connection is closed.
func gatherReturning(t *testing.T, address string, act client) {
	t.Helper()
	var crowd sync.WaitGroup
	for range crowdSize {
		crowd.Go(func() {
			for range returnsPerSeat {
				if conn := visit(t, address, act); conn != nil {
					_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
					_, _ = io.Copy(io.Discard, conn) // until the server closes it
				}
			}
		})
	}
	crowd.Wait()
}

// persist runs a crowd whose clients send requests, one after another, for a time, each until it is accepted.
func persist(t *testing.T, address string, request func() string) {
	t.Helper()
	end := time.Now().Add(persistTime)
	var crowd sync.WaitGroup
	for range persistentClients {
		crowd.Go(func() {
			for time.Now().Before(end) {
				text := request()
				for !sendAccepted(address, text) && time.Now().Before(end) {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	crowd.Wait()
}

// sendAccepted sends a request on a new connection and reports whether it was accepted.
func sendAccepted(address, text string) bool {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	if err := send(conn, text); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// visit opens one connection and lets the client act on it; nil: the server did not accept it.
func visit(t *testing.T, address string, act client) net.Conn {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_ = act(conn)
	return conn
}

// send writes all of text.
func send(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

// sendEndless repeats text until endlessBytes have been written.
func sendEndless(conn net.Conn, text string) error {
	block := strings.Repeat(text, 1+64<<10/len(text))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if err := send(conn, block); err != nil {
			return err
		}
	}
	return nil
}

// postHead returns the head of a new submission with more header lines, each with its line end.
func postHead(headers string) string {
	return "POST " + standin.QueuePrefix + newID() + " HTTP/1.1\r\nHost: " + standin.QueueHost + "\r\nDeadline-Ms: 3000\r\n" +
		"Content-Type: application/json\r\n" + headers + "\r\n"
}

func postHeadWithLength(n int) string {
	return postHead("Content-Length: " + strconv.Itoa(n) + "\r\n")
}

// legalBody returns a valid submission of the largest legal size.
func legalBody() string {
	body := standin.SingleStep("ms=50", 1, 1000).Body()
	return body + strings.Repeat(" ", maxBodyBytes-len(body))
}

// stepsBody returns a body of the largest legal size with as many steps as fit.
func stepsBody() string {
	steps := strings.Repeat("{},", (maxBodyBytes-32)/len("{},"))
	body := `{"spec":"x","steps":[` + strings.TrimSuffix(steps, ",") + `]}`
	return body + strings.Repeat(" ", maxBodyBytes-len(body))
}

// dependenciesBody returns a valid submission of the largest legal size whose steps depend on as many others
// as fit.
func dependenciesBody() string {
	var body strings.Builder
	body.WriteString(`{"spec":"ms=50","steps":[{"count":1,"cpu":1000,"mem-mb":64,"est-runtime-ms":50},{"count":1,"cpu":1000,"mem-mb":64,"est-runtime-ms":50,"after":[0`)
	body.WriteString(strings.Repeat(",0", (maxBodyBytes-body.Len()-8)/2))
	body.WriteString("]}]}")
	return body.String() + strings.Repeat(" ", maxBodyBytes-body.Len())
}

// largestValidBody returns a valid submission of the largest legal size with the maximum number of steps.
// They wait for the first one, which lasts.
func largestValidBody() string {
	const steps = 1000
	first := `{"spec":"lasts","steps":[{"count":1,"cpu":1000,"mem-mb":64,"est-runtime-ms":50}`
	each := (maxBodyBytes - len(first) - 2) / (steps - 1)
	var body strings.Builder
	body.WriteString(first)
	for range steps - 1 {
		step := `,{"count":1,"cpu":1000,"mem-mb":64,"after":[0],"image":"`
		body.WriteString(step + strings.Repeat("i", each-len(step)-2) + `"}`)
	}
	body.WriteString("]}")
	return body.String() + strings.Repeat(" ", maxBodyBytes-body.Len())
}

// chunked returns text as chunks of a number of bytes, without the last, empty chunk.
func chunked(text string, size int) string {
	var b strings.Builder
	for len(text) > 0 {
		n := min(size, len(text))
		b.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n" + text[:n] + "\r\n")
		text = text[n:]
	}
	return b.String()
}
