package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const testBodyBytes = 64 << 10

// echoSize reads the body and responds with 200, 413 or 503.
func echoSize(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
	defer cancel()
	body, err := ReadBody(ctx, r, testBodyBytes)
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set("X-Size", fmt.Sprint(len(body)))
	}
}

func post(declared, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat("x", sent))
}

func chunks(sizes ...int) string {
	text := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, n := range sizes {
		text += fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return text
}

func TestBodiesUpToTheLimitAreRead(t *testing.T) {
	g, address := startServer(t, Limits{Connections: 8, ArrivalMemory: 1 << 20, DecodingMemory: 1 << 20}, echoSize)
	const end = "0\r\n\r\n"
	for _, c := range []struct {
		request string
		want    int
	}{
		{post(0, 0), 200}, {post(1, 1), 200}, {post(firstBuffer, firstBuffer), 200}, {post(testBodyBytes, testBodyBytes), 200}, {post(testBodyBytes+1, testBodyBytes+1), 413},
		{chunks() + end, 200}, {chunks(1, 1, 1) + end, 200}, {chunks(firstBuffer, 1) + end, 200}, {chunks(testBodyBytes) + end, 200}, {chunks(testBodyBytes, 1) + end, 413},
	} {
		conn := dial(t, address)
		write(t, conn, c.request)
		if got := status(conn); got != c.want {
			t.Errorf("%.60q: status %d, want %d", c.request, got, c.want)
		}
		_ = conn.Close()
	}
	for end := time.Now().Add(5 * time.Second); !g.arrival.TryAcquire(g.opts.Limits.ArrivalMemory); {
		if time.Now().After(end) {
			t.Fatal("memory is not returned")
		}
	}
}

// Stalled bodies that fill the memory give way to a small request; complete ones do not.
func TestStalledBodiesGiveWay(t *testing.T) {
	_, address := startServer(t, Limits{Connections: 8, ArrivalMemory: 2 * testBodyBytes, DecodingMemory: 1 << 20}, echoSize)
	stalled := dial(t, address)
	write(t, stalled, post(testBodyBytes, testBodyBytes-1))
	second := dial(t, address)
	write(t, second, post(testBodyBytes, 1))
	time.Sleep(2 * minEvictionAge)
	for range 3 {
		conn := dial(t, address)
		write(t, conn, post(100, 100))
		if got := status(conn); got != http.StatusOK {
			t.Errorf("small request: status %d", got)
		}
	}
	if got := status(stalled); got != http.StatusServiceUnavailable {
		t.Errorf("the oldest stalled request: status %d, want 503", got)
	}
	write(t, second, strings.Repeat("x", testBodyBytes-1))
	if got := status(second); got != http.StatusOK {
		t.Errorf("the other request: status %d", got)
	}
}
