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

// errTooLarge says a message exceeds Options.MessageBytes.
var errTooLarge = errors.New("message too large")

// codec frames messages by their length and refuses those over the limit, in
// both directions. It implements jsonrpc2.ObjectCodec.
type codec struct {
	limit int // bytes
}

// WriteObject writes the frame with one call, so that an error means that the
// peer cannot have received all of it.
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

// ReadObject reads one whole frame before it decodes anything.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > uint64(c.limit) {
		return errors.Wrapf(errTooLarge, "%d bytes announced", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// newStream frames messages over a connection whose writes are bounded in time.
func newStream(conn net.Conn, o Options) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(writeTimeoutConn{Conn: conn, timeout: o.WriteTimeout}, codec{limit: o.MaxMessageBytes})
}

// writeTimeoutConn closes a connection whose peer does not take what is written. A
// frame that was cut is never followed by another.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (b writeTimeoutConn) Write(p []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	n, err := b.Conn.Write(p)
	if err != nil {
		_ = b.Close()
	}
	return n, err
}

// discardLogger drops the library's own log lines; this package records events instead.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
