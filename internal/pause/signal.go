package pause

import (
	"context"
	"sync"
)

// Signal wakes all goroutines that wait for it. Its zero value is ready for use, and it is safe for
// concurrent use.
type Signal struct {
	mu sync.Mutex
	c  chan struct{}
}

// Next returns a channel that the next Broadcast closes.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

// Broadcast closes the channels that Next has returned.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}

// WaitFor runs f and reports whether it ended before ctx was done and interrupt was closed. It is
// for calls that end only at their deadline: f runs on a goroutine of its own and is abandoned. What f
// assigns may be read only if WaitFor returns true.
func WaitFor(ctx context.Context, interrupt <-chan struct{}, f func()) bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	select {
	case <-ended:
		return ctx.Err() == nil
	case <-interrupt:
	case <-ctx.Done():
	}
	return false
}
