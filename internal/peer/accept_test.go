package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"filbertcross/internal/event"
)

// exhaustedListener fails its first accepts with EMFILE, as in a process without free file
// descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if s.failures > 0 {
		s.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// The owner of 3,000 workers ran out of file descriptors and its process exited with
// "accept4: too many open files" (sweep-300). Serve must retry such accepts instead.
func TestServerContinuesAfterDescriptorExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{}, event.Discard{})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, &exhaustedListener{Listener: l, failures: 2}) }()
	time.Sleep(3 * acceptRetryDelay)
	select {
	case err := <-served:
		t.Fatalf("Serve returned: %v", err)
	default:
	}
	client := NewClient(Options{}, event.Discard{})
	defer client.Close()
	// CodeUnknownMethod is sent by the server, so the connection was accepted.
	if err := client.Call(ctx, l.Addr().String(), "no.such", nil, nil); err.(*Error).Code != CodeUnknownMethod {
		t.Fatalf("call: %v", err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
