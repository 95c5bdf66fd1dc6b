package owner

import (
	"context"
	"testing"
	"time"
)

// An owner that is short of CPU time handles responses in long batches. A start response handled
// with the time of its batch looked older than a lease renewal sent before the start ran, so the
// run appeared lost and its task ran twice (aulaplan-sofia-grown quiet-1, overloaded owner).
func TestMessagesAreHandledWithTheirPostTime(t *testing.T) {
	now := time.Second
	m := newMailbox(func() time.Duration { return now })
	var handledAt []time.Duration
	record := func(at time.Duration) { handledAt = append(handledAt, at) }
	m.post(context.Background(), record)
	now = 2 * time.Second
	m.post(context.Background(), record)
	now = 9 * time.Second
	m.handleQueued()
	if len(handledAt) != 2 || handledAt[0] != time.Second || handledAt[1] != 2*time.Second {
		t.Fatalf("messages handled with times %v, want 1s and 2s", handledAt)
	}
}

func TestPostToFullMailboxReturnsWhenContextIsDone(t *testing.T) {
	m := newMailbox(func() time.Duration { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	for range mailboxSize {
		m.post(ctx, func(time.Duration) {})
	}
	cancel()
	if m.post(ctx, func(time.Duration) {}) {
		t.Fatal("post to a full mailbox succeeded")
	}
}
