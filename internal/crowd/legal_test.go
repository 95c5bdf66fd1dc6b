package crowd

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A single request within the limits is served, however it arrives.
func TestLegalRequests(t *testing.T) {
	v := startVM(t)
	body := legalBody()
	whole := postHeadWithLength(len(body)) + body
	long := strings.Repeat("x", 16_000-len(postHeadWithLength(maxBodyBytes)))
	for name, act := range map[string]client{
		"largest body": func(conn net.Conn) error { return send(conn, whole) },
		"largest body over 2.4 s": func(conn net.Conn) error {
			return sendPieces(conn, postHeadWithLength(len(body))+body, 40, 2400*time.Millisecond)
		},
		"largest body in small pieces": func(conn net.Conn) error {
			return sendPieces(conn, postHeadWithLength(len(body))+body, 4096, 0)
		},
		"largest body in one chunk": func(conn net.Conn) error {
			return send(conn, postHead("Transfer-Encoding: chunked\r\n")+chunked(body, len(body))+"0\r\n\r\n")
		},
		"largest body in chunks of a byte": func(conn net.Conn) error {
			return send(conn, postHead("Transfer-Encoding: chunked\r\n")+chunked(body, 1)+"0\r\n\r\n")
		},
		"body byte by byte": func(conn net.Conn) error {
			small := strings.TrimSpace(body)
			if err := send(conn, postHeadWithLength(len(small))); err != nil {
				return err
			}
			return sendPieces(conn, small, len(small), time.Second)
		},
		"head of 8 kB in 40 pieces": func(conn net.Conn) error {
			small := strings.TrimSpace(body)
			head := postHead("Content-Length: " + strconv.Itoa(len(small)) + "\r\nX-Long: " + long[:8000] + "\r\n")
			return sendPieces(conn, head+small, 40, time.Second)
		},
		"head of the largest size": func(conn net.Conn) error {
			small := strings.TrimSpace(body)
			return send(conn, postHead("Content-Length: "+strconv.Itoa(len(small))+"\r\nX-Long: "+long+"\r\n")+small)
		},
		"largest number of steps":        func(conn net.Conn) error { return send(conn, postHeadWithLength(maxBodyBytes)+largestValidBody()) },
		"largest number of dependencies": func(conn net.Conn) error { return send(conn, postHeadWithLength(maxBodyBytes)+dependenciesBody()) },
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", v.front)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := act(conn); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusOK {
				t.Errorf("status %d, want 200", response.StatusCode)
			}
		})
	}
}

// sendPieces sends text in n pieces of about the same length, spread over a time.
func sendPieces(conn net.Conn, text string, n int, over time.Duration) error {
	for i := range n {
		if err := send(conn, text[i*len(text)/n:(i+1)*len(text)/n]); err != nil {
			return err
		}
		time.Sleep(over / time.Duration(n))
	}
	return nil
}
