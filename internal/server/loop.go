package server

import (
	"context"
	"time"
)

const (
	loopTickInterval = 50 * time.Millisecond
	loopInboxSize    = 4096 // messages that wait for the control loop
)

// message is one input of the control loop. apply runs on the loop's goroutine
// and never blocks.
type loopMessage interface {
	apply(c *controlState, now time.Time)
}

// loop is the control loop: the one goroutine that owns the partitions' state.
type loop struct {
	inbox   chan loopMessage
	control *controlState
	done    chan struct{} // closed when the loop has ended
}

func newLoop(c *controlState) *loop {
	return &loop{inbox: make(chan loopMessage, loopInboxSize), control: c, done: make(chan struct{})}
}

// Post hands a message to the loop; it is dropped once the loop has ended.
func (l *loop) Post(m loopMessage) {
	select {
	case l.inbox <- m:
	case <-l.done:
	}
}

// Run applies messages in order and lets time pass until the context ends.
func (l *loop) Run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(loopTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			m.apply(l.control, time.Now())
		case now := <-ticker.C:
			l.control.tick(now)
		}
	}
}

// ask runs a query on the loop's goroutine and waits for its answer.
func queryLoop[T any](ctx context.Context, l *loop, query func(c *controlState, now time.Time) T) (T, error) {
	result := make(chan T, 1)
	l.Post(loopQuery(func(c *controlState, now time.Time) { result <- query(c, now) }))
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case <-l.done:
		var none T
		return none, context.Canceled
	}
}

// question is a query of the control state.
type loopQuery func(c *controlState, now time.Time)

func (q loopQuery) apply(c *controlState, now time.Time) { q(c, now) }
