package owner

import (
	"context"
	"time"
)

// loopMessage is a function for the owner's loop, with the clock reading when it was posted.
type loopMessage struct {
	postedAt time.Duration
	handle   func(now time.Duration)
}

// mailbox queues messages for the owner's loop. Each message is handled with the time at which
// it was posted, not with the time of the batch: what a response proves depends on what was sent
// before it, and a busy loop handles responses that arrived long after its batch began.
type mailbox struct {
	clock    Clock
	messages chan loopMessage
}

func newMailbox(clock Clock) *mailbox {
	return &mailbox{clock: clock, messages: make(chan loopMessage, mailboxSize)}
}

// post queues a message and blocks while the mailbox is full. If ctx is done first, it drops the
// message and returns false.
func (m *mailbox) post(ctx context.Context, f func(now time.Duration)) bool {
	select {
	case m.messages <- loopMessage{postedAt: m.clock(), handle: f}:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleQueued handles the queued messages, at most maxMessagesPerPass.
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
