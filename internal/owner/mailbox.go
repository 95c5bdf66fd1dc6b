package owner

import (
	"context"
	"time"
)

// message is something to do on the loop, with the clock's reading when it was posted.
type loopMessage struct {
	postedAt time.Duration
	handle   func(now time.Duration)
}

// mailbox carries messages to the loop. Each is handled with the time at which it came, not
// with that of the batch: what an answer proves depends on what was sent before it, and a
// busy loop handles answers that came long after its batch began.
type mailbox struct {
	clock    Clock
	messages chan loopMessage
}

func newMailbox(clock Clock) *mailbox {
	return &mailbox{clock: clock, messages: make(chan loopMessage, mailboxSize)}
}

// post hands a message over; it is dropped, and false returned, when ctx is done.
func (m *mailbox) post(ctx context.Context, f func(now time.Duration)) bool {
	select {
	case m.messages <- loopMessage{postedAt: m.clock(), handle: f}:
		return true
	case <-ctx.Done():
		return false
	}
}

// drain handles what is there, up to a bound.
func (m *mailbox) handleQueued() {
	for range maxMessagesPerPass {
		select {
		case msg := <-m.messages:
			msg.handle(msg.postedAt)
		default:
			return
		}
	}
}
