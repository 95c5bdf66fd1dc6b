package ingress

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is what the process does with a connection.
type phase int32

const (
	// readingHead lasts from the end of a request until the head of the next one is complete. The
	// connection may be idle.
	readingHead phase = iota
	handling          // a handler runs, and the body is complete, absent or not needed
	readingBody       // a handler reads the body
	finishing         // the handler has ended; the response is sent, and the rest of the body discarded
)

// Memory that the head of a request takes once it is parsed.
const (
	headByteCost = 4   // bytes for each byte: as read, as a line that grows, as parsed
	headLineCost = 256 // bytes for each line, an entry of the header map
	// freeHeadCost is within connectionCost.
	freeHeadCost    = 8 << 10
	headReserveStep = 16 << 10 // bytes that are reserved at once
	// headSlack is what the server may read beyond the head into its buffer.
	headSlack = 4 << 10
)

// conn is a client's connection. The fields below guard.mu are guarded by it.
type conn struct {
	net.Conn
	guard *Guard

	// headBytes and headLines are those of the current head; only the goroutine that reads uses them.
	headBytes, headLines, headHeld int64

	reading atomic.Int32 // the phase, for Read

	// guarded by guard.mu
	phase phase
	since time.Time // when the current request began to arrive, or the connection became idle
	// arriving and decoding are the bytes that the request holds. A handler may run on after the
	// connection was closed, so decoding is returned only at its end.
	arriving, decoding int64
	evicted            bool
	closed             bool
}

// Read implements net.Conn. It counts what arrives of a head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || phase(c.reading.Load()) != readingHead {
		return n, err
	}
	if c.headBytes == 0 {
		c.setSince(time.Now()) // until then the connection was idle
	}
	c.headBytes += int64(n)
	c.headLines += int64(bytes.Count(p[:n], []byte{'\n'}))
	if c.headBytes > c.guard.opts.HeaderBytes()+headSlack {
		c.guard.refused.add(reasonHead)
		_, _ = io.WriteString(c, headTooLarge) // the client may be gone
		return 0, io.EOF                       // the server closes the connection without a further response
	}
	if !c.reserveHead() {
		c.guard.refused.add(reasonMemory)
		return 0, io.EOF
	}
	return n, err
}

// headTooLarge is the response to a request whose head is over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// reserveHead reserves memory for the head as it has arrived so far.
func (c *conn) reserveHead() bool {
	cost := headByteCost*c.headBytes + headLineCost*c.headLines - freeHeadCost
	if cost <= c.headHeld {
		return true
	}
	step := max(cost-c.headHeld, headReserveStep)
	if !c.guard.reserveArrival(c, step) {
		return false
	}
	c.headHeld += step
	return true
}

// Write implements net.Conn, with a timeout for a client that does not read.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. The deadline of a connection that gives way stays in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn and returns what the connection holds.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.closeLocked()
}

func (c *conn) closeLocked() error {
	if c.closed {
		return nil
	}
	c.closed = true
	delete(c.guard.conns, c)
	c.releaseLocked(c.arriving)
	c.guard.slots.Release(1)
	return c.Conn.Close()
}

// releaseLocked returns n bytes of what arrives, or what the connection still holds. The caller holds
// guard.mu.
func (c *conn) releaseLocked(n int64) {
	n = min(n, c.arriving)
	c.arriving -= n
	c.guard.arrival.Release(n)
}

func (c *conn) release(n int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.releaseLocked(n)
}

func (c *conn) setPhase(p phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.phase = p
	c.reading.Store(int32(p))
}

func (c *conn) setSince(t time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.since = t
}

// gaveWay reports whether the connection was evicted.
func (c *conn) gaveWay() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.evicted
}

// endRequest returns what the request holds besides the connection.
func (c *conn) endRequest() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.phase = finishing
	c.reading.Store(int32(finishing))
	c.releaseLocked(c.arriving)
	c.guard.decoding.Release(c.decoding)
	c.decoding, c.headHeld = 0, 0
}

// beginHead expects the next request of the connection.
func (c *conn) beginHead() {
	c.headBytes, c.headLines = 0, 0
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.since = time.Now()
	c.phase = readingHead
	c.reading.Store(int32(readingHead))
}

// limitReceiveBuffer limits what the kernel holds of each connection of a listener. The kernel doubles
// the value and uses half of it for its own structures.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
