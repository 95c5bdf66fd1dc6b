package node

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/time/rate"

	"filbertcross/internal/event"
	"filbertcross/internal/peer"
	"filbertcross/platform"
	"filbertcross/platform/standin"
)

// slowLink limits the rate at which one VM receives data, over all its connections to the store and
// to other VMs together.
type slowLink struct {
	t       *testing.T
	limiter *rate.Limiter

	received atomic.Int64 // bytes

	mu      sync.Mutex
	proxies map[string]string // proxy address by target address
}

// slowLinkChunk is the largest number of bytes forwarded at once.
const slowLinkChunk = 8 << 10

func newSlowLink(t *testing.T, bytesPerSecond int) *slowLink {
	return &slowLink{t: t, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), slowLinkChunk), proxies: map[string]string{}}
}

// proxyTo returns the address of a proxy that forwards connections to the target.
func (l *slowLink) proxyTo(target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address, ok := l.proxies[target]; ok {
		return address
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client, target)
		}
	}()
	l.proxies[target] = listener.Addr().String()
	return l.proxies[target]
}

// forward copies data in both directions until one side closes. Small buffers make the sender wait
// for the receiver, as a real link does.
func (l *slowLink) forward(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	_ = server.(*net.TCPConn).SetReadBuffer(4 * slowLinkChunk)
	_ = client.(*net.TCPConn).SetWriteBuffer(4 * slowLinkChunk)
	go func() {
		defer server.Close()
		_, _ = io.Copy(server, client)
	}()
	buffer := make([]byte, slowLinkChunk)
	for {
		n, err := server.Read(buffer)
		l.received.Add(int64(n))
		if n > 0 && l.limiter.WaitN(context.Background(), n) == nil {
			if _, err := client.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// dial opens a connection to another VM through the link.
func (l *slowLink) dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", l.proxyTo(address))
}

// attachTo returns a change that puts a VM of the platform behind the link.
func (l *slowLink) attachTo(testPlatform *standin.Platform) func(*Options) {
	return func(o *Options) {
		store := platform.NewStore(l.proxyTo(testPlatform.StoreAddress))
		o.Store, o.Owner.Store = store, store
		o.PeerClient = peer.NewClient(peer.Options{StallTimeout: peerStallTimeout, DialTimeout: peerDialTimeout, MaxBackoff: peerDialTimeout, Dial: l.dial}, event.Discard{})
	}
}
