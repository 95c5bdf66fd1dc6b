package owner

import (
	"context"
	"testing"
	"time"
)

// Pattern: an owner without processor time handles answers in long batches. A start's answer
// that was handled with the batch's time looked older than a hold that had been sent before
// the start ran, so the run seemed to have vanished and its task ran twice
// (aulaplan-sofia-grown quiet-1, overloaded owner).
func TestMessagesKeepTheTimeTheyCame(t *testing.T) {
	now := time.Second
	m := newMailbox(func() time.Duration { return now })
	var seen []time.Duration
	record := func(at time.Duration) { seen = append(seen, at) }
	m.post(context.Background(), record)
	now = 2 * time.Second
	m.post(context.Background(), record)
	now = 9 * time.Second
	m.handleQueued()
	if len(seen) != 2 || seen[0] != time.Second || seen[1] != 2*time.Second {
		t.Fatalf("handled with %v", seen)
	}
}

func TestPostEndsWithItsContext(t *testing.T) {
	m := newMailbox(func() time.Duration { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	for range mailboxSize {
		m.post(ctx, func(time.Duration) {})
	}
	cancel()
	if m.post(ctx, func(time.Duration) {}) {
		t.Fatal("a full mailbox took a message")
	}
}
