package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"filbertcross/internal/event"
)

// Connections that send nothing, or a long message before a first valid one, are closed; a client that
// called before them, and one that connects after them, are served.
func TestUnidentifiedConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{}, event.Discard{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, l) }() // returns nil once ctx is done
	served := func(c *Client) {
		t.Helper()
		if err := c.Call(ctx, l.Addr().String(), "no.such", strings.Repeat("x", 2*maxHelloBytes), nil); err.(*Error).Code != CodeUnknownMethod {
			t.Errorf("call: %v", err)
		}
	}
	before := NewClient(Options{}, event.Discard{})
	defer before.Close()
	served(before)
	var silent []net.Conn
	for range maxUnidentified + 10 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		silent = append(silent, conn)
	}
	_ = silent[0].SetReadDeadline(time.Now().Add(unidentifiedTimeout / 2))
	if _, err := silent[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the oldest silent connection: %v, want EOF", err)
	}
	long := silent[len(silent)-1]
	if _, err := long.Write(binary.AppendUvarint(nil, maxHelloBytes+1)); err != nil {
		t.Fatal(err)
	}
	_ = long.SetReadDeadline(time.Now().Add(unidentifiedTimeout / 2))
	if _, err := long.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a long first message: %v, want EOF", err)
	}
	after := NewClient(Options{}, event.Discard{})
	defer after.Close()
	served(after)
	served(before)
}
