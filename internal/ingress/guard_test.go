package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
)

const testHeaderBytes = 2048

// startServer serves a handler behind a guard with the limits and returns its address.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) (*Guard, string) {
	t.Helper()
	g := NewGuard(Options{
		Name: "test", Limits: limits, HeaderBytes: func() int64 { return testHeaderBytes },
		Events: event.NewLog(event.LogOptions{}), Scope: tally.NoopScope,
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	g.Install(server)
	l, err := g.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	return g, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// status returns the status of the next response, 0 if the connection is closed.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

func reply(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestOldestIdleConnectionGivesWay(t *testing.T) {
	_, address := startServer(t, Limits{Connections: 2, ArrivalMemory: 1 << 20, DecodingMemory: 1 << 20}, reply)
	first := dial(t, address)
	write(t, first, get)
	if got := status(first); got != http.StatusOK {
		t.Fatalf("first: status %d", got)
	}
	second, third := dial(t, address), dial(t, address)
	for _, conn := range []net.Conn{second, third} {
		write(t, conn, get)
		if got := status(conn); got != http.StatusOK {
			t.Errorf("later connection: status %d", got)
		}
	}
	write(t, first, get)
	if got := status(first); got != 0 {
		t.Errorf("oldest connection: status %d, want a closed connection", got)
	}
}

// A request that begins on a connection that was idle for long is as new as any other.
func TestAgeOfRequestIsWithoutIdleTime(t *testing.T) {
	_, address := startServer(t, Limits{Connections: 2, ArrivalMemory: 1 << 20, DecodingMemory: 1 << 20}, reply)
	first := dial(t, address)
	write(t, first, get)
	if got := status(first); got != http.StatusOK {
		t.Fatalf("first: status %d", got)
	}
	second := dial(t, address)
	write(t, second, get[:10])
	time.Sleep(100 * time.Millisecond) // the server has read what was sent
	write(t, first, get[:10])
	time.Sleep(100 * time.Millisecond)
	third := dial(t, address)
	write(t, third, get)
	if got := status(third); got != http.StatusOK {
		t.Errorf("third: status %d", got)
	}
	write(t, first, get[10:])
	if got := status(first); got != http.StatusOK {
		t.Errorf("the request that began last: status %d", got)
	}
}

func TestRequestInProgressDoesNotGiveWay(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, Limits{Connections: 1, ArrivalMemory: 1 << 20, DecodingMemory: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-end
		reply(w, r)
	})
	first := dial(t, address)
	write(t, first, get)
	<-begun
	if got := status(dial(t, address)); got != 0 {
		t.Errorf("second connection: status %d, want a closed connection", got)
	}
	close(end)
	if got := status(first); got != http.StatusOK {
		t.Errorf("request in progress: status %d", got)
	}
}

func TestHeadOverLimitIsRefused(t *testing.T) {
	_, address := startServer(t, Limits{Connections: 4, ArrivalMemory: 1 << 20, DecodingMemory: 1 << 20}, reply)
	conn := dial(t, address)
	write(t, conn, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", testHeaderBytes+headSlack))
	if got := status(conn); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", got)
	}
	within := dial(t, address)
	for range 3 { // each request has its own head
		write(t, within, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", testHeaderBytes-64)+"\r\n\r\n")
		if got := status(within); got != http.StatusOK {
			t.Errorf("head within the limit: status %d", got)
		}
	}
}

// The machines are those of the test package crowd, of the users, and one whose settings name no size.
func TestLimitsOfMachines(t *testing.T) {
	const mebibyte = 1 << 20
	for _, c := range []struct{ memoryMB, descriptors, connections, requestsMB int64 }{
		{80, 500, 150, 12},
		{144, 3075, 384, 18},
		{184, 4100, 490, 23},
		{284, 4100, 757, 35},
		{536, 8192, 1429, 67},
		{0, 0, 16, 12},
	} {
		l := LimitsFor(c.memoryMB*mebibyte, c.descriptors)
		requests := (l.ArrivalMemory + l.DecodingMemory) / mebibyte
		if l.Connections != c.connections || requests != c.requestsMB {
			t.Errorf("%d MB, %d descriptors: %d connections, %d MB for requests, want %d and %d", c.memoryMB, c.descriptors, l.Connections, requests, c.connections, c.requestsMB)
		}
	}
}
