package crowd

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"filbertcross/platform"
	"filbertcross/platform/standin"
)

const shortOfEnd = 16 // bytes that a client leaves out of the end of a body

// withstand runs a crowd at the callers' address. An ordinary request must be answered while the
// connections of the crowd that the VM has not closed are still open.
func withstand(t *testing.T, act client) {
	t.Helper()
	v := startVM(t)
	gather(t, v.front, act)
	v.requireAnswer("beside the crowd")
	v.requireReady("beside the crowd")
}

func oversizedHead(conn net.Conn) error {
	return send(conn, "GET / HTTP/1.1\r\nHost: "+standin.QueueHost+"\r\nX-Long: "+strings.Repeat("x", mebibyte))
}

// Heads of 1 MB that stop short of their end.
func TestOversizedHeads(t *testing.T) { withstand(t, oversizedHead) }

func TestOversizedHeadsOfReturningClients(t *testing.T) {
	v := startVM(t)
	gatherReturning(t, v.front, oversizedHead)
	v.requireAnswer("after the crowd")
}

func TestOversizedHeadsAtReadiness(t *testing.T) {
	v := startVM(t)
	gatherReturning(t, v.readiness, oversizedHead)
	v.requireReady("after the crowd")
	v.requireAnswer("after the crowd")
}

func TestOversizedHeadsAtMetrics(t *testing.T) {
	v := startVM(t)
	gatherReturning(t, v.metrics, oversizedHead)
	v.requireReady("after the crowd")
	v.requireAnswer("after the crowd")
}

// withstandAtPeers is withstand at the address for other VMs.
func withstandAtPeers(t *testing.T, act client) {
	t.Helper()
	v := startVM(t)
	gather(t, v.peers, act)
	v.requireAnswer("beside the crowd")
	v.requireReady("beside the crowd")
}

func TestSilentConnectionsAtPeers(t *testing.T) {
	withstandAtPeers(t, func(net.Conn) error { return nil })
}

func TestOversizedHeadsAtPeers(t *testing.T) { withstandAtPeers(t, oversizedHead) }

// Messages of the largest size that stop short of their end.
func TestStalledMessagesAtPeers(t *testing.T) {
	const messageBytes = 4 << 20
	message := string(binary.AppendUvarint(nil, messageBytes)) + strings.Repeat(" ", messageBytes-shortOfEnd)
	withstandAtPeers(t, func(conn net.Conn) error { return send(conn, message) })
}

func TestStalledBodiesAtReadiness(t *testing.T) {
	v := startVM(t)
	gather(t, v.readiness, func(conn net.Conn) error {
		if err := send(conn, "POST "+platform.ReadinessPath+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n"); err != nil {
			return err
		}
		return sendEndless(conn, "x")
	})
	v.requireReady("beside the crowd")
	v.requireAnswer("beside the crowd")
}

func TestEndlessRequestLines(t *testing.T) {
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, "GET /"); err != nil {
			return err
		}
		return sendEndless(conn, "x")
	})
}

func TestEndlessHeaderLine(t *testing.T) {
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, "GET / HTTP/1.1\r\nX-Long: "); err != nil {
			return err
		}
		return sendEndless(conn, "x")
	})
}

func TestEndlessHeaderLines(t *testing.T) {
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, "GET / HTTP/1.1\r\n"); err != nil {
			return err
		}
		for i := 0; i < endlessBytes; {
			block := ""
			for len(block) < 16<<10 {
				i++
				block += fmt.Sprintf("%x:\r\n", i)
			}
			if err := send(conn, block); err != nil {
				return err
			}
		}
		return nil
	})
}

// Heads within the limit, of many short lines, that stop short of their end.
func TestHeadsOfManyLines(t *testing.T) {
	head := "GET / HTTP/1.1\r\n"
	for i := 0; len(head) < 16_000; i++ {
		head += fmt.Sprintf("%x:\r\n", i)
	}
	withstand(t, func(conn net.Conn) error { return send(conn, head) })
}

func TestEndlessEmptyLines(t *testing.T) {
	withstand(t, func(conn net.Conn) error { return sendEndless(conn, "\r\n") })
}

func TestEndlessEmptyLinesAfterRequest(t *testing.T) {
	body := standin.SingleStep("ms=50", 1, 1000).Body()
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, postHeadWithLength(len(body))+body); err != nil {
			return err
		}
		return sendEndless(conn, "\r\n")
	})
}

func TestSilentConnections(t *testing.T) {
	withstand(t, func(net.Conn) error { return nil })
}

func TestHalfClosedConnections(t *testing.T) {
	body := legalBody()
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, postHeadWithLength(len(body))+body[:len(body)-shortOfEnd]); err != nil {
			return err
		}
		return conn.(*net.TCPConn).CloseWrite()
	})
}

func TestStalledBodies(t *testing.T) {
	body := legalBody()
	withstand(t, func(conn net.Conn) error {
		return send(conn, postHeadWithLength(len(body))+body[:len(body)-shortOfEnd])
	})
}

func TestStalledBodiesInPieces(t *testing.T) {
	body := legalBody()
	withstand(t, func(conn net.Conn) error {
		rest := postHeadWithLength(len(body)) + body[:len(body)-shortOfEnd]
		for len(rest) > 0 {
			n := min(len(rest), 8<<10)
			if err := send(conn, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	})
}

// Bodies that come to a byte a time at their end.
func TestTricklingBodies(t *testing.T) {
	const trickled = 64 << 10
	body := legalBody()
	v := startVM(t)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	gather(t, v.front, func(conn net.Conn) error {
		if err := send(conn, postHeadWithLength(len(body))+body[:len(body)-trickled]); err != nil {
			return err
		}
		go func() {
			for range trickled - 1 {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				if send(conn, " ") != nil {
					return
				}
			}
		}()
		return nil
	})
	v.requireAnswer("beside the crowd")
	v.requireReady("beside the crowd")
}

// Requests that announce a body and never begin it.
func TestBodiesThatNeverBegin(t *testing.T) {
	withstand(t, func(conn net.Conn) error { return send(conn, postHeadWithLength(maxBodyBytes)) })
}

func TestExpectedBodiesThatNeverBegin(t *testing.T) {
	withstand(t, func(conn net.Conn) error {
		return send(conn, postHead(fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", maxBodyBytes)))
	})
}

// Bodies of a path without a queue, which are not read.
func TestStalledBodiesWithoutQueue(t *testing.T) {
	body := legalBody()
	withstand(t, func(conn net.Conn) error {
		head := "POST /none/" + newID() + " HTTP/1.1\r\nHost: " + standin.QueueHost + "\r\nContent-Length: 262144\r\n\r\n"
		return send(conn, head+body[:len(body)-shortOfEnd])
	})
}

func TestCompleteBodies(t *testing.T) {
	body := legalBody()
	withstand(t, func(conn net.Conn) error { return send(conn, postHeadWithLength(len(body))+body) })
}

// Complete bodies with more steps than a submission may have.
func TestBodiesOfManySteps(t *testing.T) {
	body := stepsBody()
	withstand(t, func(conn net.Conn) error { return send(conn, postHeadWithLength(len(body))+body) })
}

func TestBodiesOfManyDependencies(t *testing.T) {
	body := dependenciesBody()
	withstand(t, func(conn net.Conn) error { return send(conn, postHeadWithLength(len(body))+body) })
}

// Complete, valid submissions, each of the largest size and with the maximum number of steps.
func TestLargestSubmissions(t *testing.T) {
	body := largestValidBody()
	withstand(t, func(conn net.Conn) error { return send(conn, postHeadWithLength(len(body))+body) })
}

// Valid submissions of the largest size that come back until they are accepted, and never end.
func TestLargestSubmissionsWithoutEnd(t *testing.T) {
	body := largestValidBody()
	v := startVM(t)
	persist(t, v.front, func() string { return postHeadWithLength(len(body)) + body })
	v.requireAnswer("after the crowd")
	v.requireReady("after the crowd")
}

func TestStalledLargeChunks(t *testing.T) {
	body := chunked(legalBody(), maxBodyBytes)
	withstand(t, func(conn net.Conn) error {
		return send(conn, postHead("Transfer-Encoding: chunked\r\n")+body[:len(body)-shortOfEnd])
	})
}

func TestStalledSmallChunks(t *testing.T) {
	body := chunked(legalBody(), 1)
	withstand(t, func(conn net.Conn) error {
		return send(conn, postHead("Transfer-Encoding: chunked\r\n")+body[:len(body)-shortOfEnd])
	})
}

func TestEndlessChunkExtensions(t *testing.T) {
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, postHead("Transfer-Encoding: chunked\r\n")+"1;"); err != nil {
			return err
		}
		return sendEndless(conn, "x")
	})
}

func TestEndlessTrailers(t *testing.T) {
	body := standin.SingleStep("ms=50", 1, 1000).Body()
	withstand(t, func(conn net.Conn) error {
		if err := send(conn, postHead("Transfer-Encoding: chunked\r\n")+chunked(body, len(body))+"0\r\n"); err != nil {
			return err
		}
		return sendEndless(conn, "X-Trailer: x\r\n")
	})
}

// Pipelined requests whose answers are not read.
func TestUnreadAnswers(t *testing.T) {
	get := http.MethodGet + " " + standin.QueuePrefix + newID() + " HTTP/1.1\r\nHost: " + standin.QueueHost + "\r\n\r\n"
	withstand(t, func(conn net.Conn) error { return sendEndless(conn, get) })
}
