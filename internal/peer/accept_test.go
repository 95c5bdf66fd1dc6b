package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"filbertcross/internal/event"
)

// exhaustedListener fails its first accepts like a process without descriptors.
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

// Pattern: the owner of 3,000 workers runs out of descriptors; its process must not end
// (sweep-300: "accept4: too many open files").
func TestServerContinuesAfterDescriptorExhaustion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(Options{}, event.Discard{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, &exhaustedListener{Listener: l, failures: 2}) }()
	time.Sleep(3 * acceptRetryDelay)
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	default:
	}
	client := NewClient(Options{}, event.Discard{})
	defer client.Close()
	// An unknown method is answered, so the connection was accepted.
	if err := client.Call(ctx, l.Addr().String(), "no.such", nil, nil); err.(*Error).Code != CodeUnknownMethod {
		t.Fatalf("call: %v", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
