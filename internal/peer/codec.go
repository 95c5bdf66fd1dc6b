package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// errTooLarge reports that a message exceeds Options.MaxMessageBytes.
var errTooLarge = errors.New("message too large")

// codec implements jsonrpc2.ObjectCodec. It writes a length prefix before each message and
// rejects messages over the limit in both directions.
type codec struct {
	limit   int      // bytes
	inbound *inbound // nil: a connection of a Client
}

// WriteObject writes a frame with a single Write, so that after an error the peer cannot
// have received the complete frame.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(data) > c.limit {
		return errors.Wrapf(errTooLarge, "%d bytes", len(data))
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject reads a complete frame before it decodes the message. Its memory grows with what has arrived.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	limit := c.limit
	if c.inbound != nil {
		limit = c.inbound.messageLimit(limit)
	}
	if size > uint64(limit) {
		return errors.Wrapf(errTooLarge, "length prefix of %d bytes", size)
	}
	data := make([]byte, 0, min(size, firstReadBytes))
	for {
		n, err := io.ReadFull(r, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return err
		}
		if uint64(len(data)) == size {
			return json.Unmarshal(data, v)
		}
		data = append(make([]byte, 0, min(size, 2*uint64(cap(data)))), data...)
	}
}

// firstReadBytes is the size up to which a frame is read into a buffer of its declared size.
const firstReadBytes = 64 << 10

// newStream returns a stream of messages over a Client's connection, with a timeout on each write.
func newStream(conn net.Conn, o Options) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(writeTimeoutConn{Conn: conn, timeout: o.WriteTimeout}, codec{limit: o.MaxMessageBytes})
}

// newInboundStream is newStream for a connection that a Server has accepted.
func newInboundStream(conn *inbound, o Options) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(writeTimeoutConn{Conn: conn, timeout: o.WriteTimeout}, codec{limit: o.MaxMessageBytes, inbound: conn})
}

// writeTimeoutConn applies a timeout to each write and closes the connection after a
// failed one, so that no frame follows an incomplete one.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// discardLogger discards the log lines of jsonrpc2; this package records events instead.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
