package server

import (
	"context"
	"time"
)

const (
	loopTick  = 50 * time.Millisecond
	loopInbox = 4096 // messages that wait for the control loop
)

// message is one input of the control loop. apply runs on the loop's goroutine
// and never blocks.
type message interface {
	apply(c *control, now time.Time)
}

// loop is the control loop: the one goroutine that owns the partitions' state.
type loop struct {
	inbox   chan message
	control *control
	done    chan struct{} // closed when the loop has ended
}

func newLoop(c *control) *loop {
	return &loop{inbox: make(chan message, loopInbox), control: c, done: make(chan struct{})}
}

// Post hands a message to the loop; it is dropped once the loop has ended.
func (l *loop) Post(m message) {
	select {
	case l.inbox <- m:
	case <-l.done:
	}
}

// Run applies messages in order and lets time pass until the context ends.
func (l *loop) Run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(loopTick)
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
func ask[T any](ctx context.Context, l *loop, query func(c *control, now time.Time) T) (T, error) {
	answer := make(chan T, 1)
	l.Post(question(func(c *control, now time.Time) { answer <- query(c, now) }))
	select {
	case found := <-answer:
		return found, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case <-l.done:
		var none T
		return none, context.Canceled
	}
}

// question is a query of the control state.
type question func(c *control, now time.Time)

func (q question) apply(c *control, now time.Time) { q(c, now) }
