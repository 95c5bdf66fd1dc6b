package owner

import (
	"testing"
	"time"

	"filbertcross/internal/dispatch"
)

// The link of the owner's VM is saturated for a while: responses take 200 ms more than usual, and
// commands must not be given up that are still under way (small twin of aulaplan-sofia-large).
func TestCommandTimeoutFollowsTheDelayOfResponses(t *testing.T) {
	var timeout commandTimeout
	observe := func(n int, delays ...time.Duration) {
		for i := range n {
			timeout.observe(delays[i%len(delays)], 0)
		}
	}
	observe(100, 8*time.Millisecond, 14*time.Millisecond)
	if got := timeout.current(); got != dispatch.CommandTimeout {
		t.Fatalf("timeout %v with fast responses, want %v", got, dispatch.CommandTimeout)
	}
	observe(100, 100*time.Millisecond, 260*time.Millisecond)
	if got := timeout.current(); got <= 400*time.Millisecond || got > maxCommandTimeout {
		t.Fatalf("timeout %v with responses after up to 260 ms, want more than 400 ms", got)
	}
	observe(100, 500*time.Millisecond, 900*time.Millisecond)
	if got := timeout.current(); got != maxCommandTimeout {
		t.Fatalf("timeout %v with responses after up to 900 ms, want %v", got, maxCommandTimeout)
	}
	observe(100, 8*time.Millisecond, 14*time.Millisecond)
	if got := timeout.current(); got != dispatch.CommandTimeout {
		t.Fatalf("timeout %v after the load, want %v", got, dispatch.CommandTimeout)
	}
}

func TestEarlyResponseToALongPollShowsNoDelay(t *testing.T) {
	var timeout commandTimeout
	for range 100 {
		timeout.observe(500*time.Millisecond, 600*time.Millisecond)
		timeout.observe(610*time.Millisecond, 600*time.Millisecond)
	}
	if got := timeout.current(); got != dispatch.CommandTimeout {
		t.Fatalf("timeout %v, want %v", got, dispatch.CommandTimeout)
	}
}
