package transfer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of the requested chunks in bytes. The size follows the link: the next chunk is expected to
// take chunkTime, but has half to twice the size of the last one, and half after a failed request. So
// even a very slow link makes progress, and a chunk stays well within the time limit of its request.
const (
	initialChunkBytes = 16 << 10
	minChunkBytes     = 1 << 10
	maxChunkBytes     = 64 << 10
	chunkTime         = 100 * time.Millisecond
)

// Receiver assembles one version of a document from chunks. It is not safe for concurrent use.
type Receiver struct {
	version    int64 // that the receiver has
	data       []byte
	chunkBytes int
	noBase     bool // request an encoding without a base, as decoding with it failed

	partial []byte // of the encoding in progress
	current Chunk  // describes that encoding; Version 0: none is in progress
}

// NewReceiver returns a receiver on a VM that has a version of the document; 0: none.
func NewReceiver(version int64, data []byte) *Receiver {
	return &Receiver{version: version, data: data, chunkBytes: initialChunkBytes}
}

// BaseVersion returns the version that the receiver was created with.
func (r *Receiver) BaseVersion() int64 { return r.version }

// Request returns the request for the next chunk.
func (r *Receiver) Request() Request {
	request := Request{Base: r.version, MaxBytes: r.chunkBytes}
	if r.noBase {
		request.Base = 0
	}
	if r.current.Version != 0 {
		request.Base, request.Version, request.Checksum = r.current.Base, r.current.Version, r.current.Checksum
		request.Offset = len(r.partial)
	}
	return request
}

// RequestFailed reports that a request got no response in time.
func (r *Receiver) RequestFailed() { r.chunkBytes = max(r.chunkBytes/2, minChunkBytes) }

// Accept adds the response to the last request, which took the given time. When the version is
// complete it returns its number and the document, otherwise 0. After an error the transfer starts
// again.
func (r *Receiver) Accept(c Chunk, took time.Duration) (int64, []byte, error) {
	r.adaptChunkBytes(len(c.Data), took)
	if c.Offset == 0 {
		r.partial, r.current = nil, c
	}
	if c.Version <= r.version || c.Base != 0 && c.Base != r.version || c.Version != r.current.Version || c.Checksum != r.current.Checksum || c.Offset != len(r.partial) ||
		len(c.Data) == 0 || c.Size > maxDocumentBytes || len(r.partial)+len(c.Data) > c.Size {
		r.reset()
		return 0, nil, errors.Newf("transfer: unexpected chunk: version %d, offset %d, size %d", c.Version, c.Offset, c.Size)
	}
	r.partial = append(r.partial, c.Data...)
	if len(r.partial) < c.Size {
		return 0, nil, nil
	}
	return r.complete()
}

func (r *Receiver) adaptChunkBytes(received int, took time.Duration) {
	next := int(float64(received) * float64(chunkTime) / float64(max(took, time.Millisecond)))
	next = min(max(next, r.chunkBytes/2), 2*r.chunkBytes)
	r.chunkBytes = min(max(next, minChunkBytes), maxChunkBytes)
}

// complete decodes the complete encoding.
func (r *Receiver) complete() (int64, []byte, error) {
	defer r.reset()
	if checksum(r.partial) != r.current.Checksum {
		return 0, nil, errors.Newf("transfer: checksum mismatch of version %d", r.current.Version)
	}
	var base []byte
	if r.current.Base != 0 {
		base = r.data
	}
	document, err := decode(r.partial, base)
	if err != nil {
		r.noBase = true
		return 0, nil, err
	}
	return r.current.Version, document, nil
}

func (r *Receiver) reset() { r.partial, r.current = nil, Chunk{} }
