package transfer

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// retainedVersions is the number of versions that a Sender retains as bases and for transfers in
// progress.
const retainedVersions = 4

// ErrNoDocument is the error of a request to a Sender without a document.
var ErrNoDocument = errors.New("transfer: no document")

// Sender responds to the requests of receivers. It is safe for concurrent use.
type Sender struct {
	mu        sync.Mutex
	documents []document                   // by ascending version
	encodings map[encodingKey]*encodedData // of the retained versions; encoded at the first request
}

type document struct {
	version int64
	data    []byte
}

type encodingKey struct{ version, base int64 }

type encodedData struct {
	data     []byte
	checksum uint32
}

// Add adds a version if it is newer than those that the sender has. data must not be modified
// afterwards.
func (s *Sender) Add(version int64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.documents); n > 0 && s.documents[n-1].version >= version {
		return
	}
	s.documents = append(s.documents, document{version, data})
	for len(s.documents) > retainedVersions {
		dropped := s.documents[0].version
		s.documents = slices.Delete(s.documents, 0, 1)
		for key := range s.encodings {
			if key.version == dropped || key.base == dropped {
				delete(s.encodings, key)
			}
		}
	}
}

// Clear drops all versions.
func (s *Sender) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.documents, s.encodings = nil, nil
}

// Chunk returns the next chunk of the transfer in progress, or the first one of the newest version
// if there is none or it cannot be continued.
func (s *Sender) Chunk(r Request) (Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.documents) == 0 {
		return Chunk{}, ErrNoDocument
	}
	key := encodingKey{version: r.Version, base: r.Base}
	offset := r.Offset
	encoded := s.encodings[key]
	if r.Version == 0 || encoded == nil || encoded.checksum != r.Checksum || offset < 0 || offset > len(encoded.data) {
		var err error
		if key, encoded, err = s.newest(r.Base); err != nil {
			return Chunk{}, err
		}
		offset = 0
	}
	end := min(offset+max(r.MaxBytes, 1), len(encoded.data))
	return Chunk{
		Base: key.base, Version: key.version, Offset: offset, Size: len(encoded.data),
		Checksum: encoded.checksum, Data: encoded.data[offset:end],
	}, nil
}

// newest returns the encoding of the newest version relative to the base if the sender has that, and
// otherwise to none. The caller holds mu.
func (s *Sender) newest(base int64) (encodingKey, *encodedData, error) {
	newest := s.documents[len(s.documents)-1]
	key := encodingKey{version: newest.version}
	var baseData []byte
	for _, d := range s.documents {
		if d.version == base && base != newest.version {
			key.base, baseData = base, d.data
		}
	}
	if e := s.encodings[key]; e != nil {
		return key, e, nil
	}
	data, err := encode(newest.data, baseData)
	if err != nil {
		return encodingKey{}, nil, err
	}
	if s.encodings == nil {
		s.encodings = map[encodingKey]*encodedData{}
	}
	e := &encodedData{data: data, checksum: checksum(data)}
	s.encodings[key] = e
	return key, e, nil
}
