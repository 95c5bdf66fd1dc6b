package server

import (
	"context"
	"time"
)

const (
	loopTickInterval = 50 * time.Millisecond
	loopInboxSize    = 4096 // queued messages; Post blocks beyond that
)

// loopMessage is an input of the control loop. apply runs on the loop's goroutine and
// must not block.
type loopMessage interface {
	apply(c *controlState, now time.Time)
}

// loop is the control loop: the one goroutine that uses the controlState.
type loop struct {
	inbox   chan loopMessage
	control *controlState
	done    chan struct{} // closed when Run returns
}

func newLoop(c *controlState) *loop {
	return &loop{inbox: make(chan loopMessage, loopInboxSize), control: c, done: make(chan struct{})}
}

// Post queues a message for the loop and blocks while the inbox is full. Messages are
// dropped once the loop has ended. Safe for concurrent use, but not from the loop's own
// goroutine.
func (l *loop) Post(m loopMessage) {
	select {
	case l.inbox <- m:
	case <-l.done:
	}
}

// Run applies messages in order and ticks the partitions until ctx is done.
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

// queryLoop runs query on the loop's goroutine and returns its result. The error is
// ctx.Err(), or context.Canceled if the loop has ended; the query may still run after
// ctx is done.
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

// loopQuery is a loopMessage that runs a function on the control state.
type loopQuery func(c *controlState, now time.Time)

func (q loopQuery) apply(c *controlState, now time.Time) { q(c, now) }
