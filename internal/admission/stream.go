package admission

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Stream is the submissions of an account to a queue.
type Stream struct{ Account, Queue string }

const streamSeparator = "\n" // names of queues and accounts do not contain it

// MarshalText encodes the stream as the key of a JSON object.
func (s Stream) MarshalText() ([]byte, error) {
	return []byte(s.Account + streamSeparator + s.Queue), nil
}

// UnmarshalText decodes what MarshalText encoded.
func (s *Stream) UnmarshalText(text []byte) error {
	account, queue, ok := strings.Cut(string(text), streamSeparator)
	if !ok {
		return errors.New("admission: a stream without a queue")
	}
	s.Account, s.Queue = account, queue
	return nil
}
