package owner

import (
	"sync"
	"time"

	"filbertcross/internal/dispatch"
)

// Limits and weights of the command timeout. The weights are those of TCP's retransmission timer
// (RFC 6298).
const (
	// maxCommandTimeout leaves time for a second renewal within a worker's lease.
	maxCommandTimeout   = time.Second
	delayWeight         = 1.0 / 8 // of a new delay in the mean
	deviationWeight     = 1.0 / 4 // of a new deviation in the mean deviation
	deviationsInTimeout = 4
)

// commandTimeout adapts the timeout of commands to the delay of the responses. On a saturated link
// or a slow VM a fixed timeout gives up on commands that are still under way, and repeating them
// adds load. It is dispatch.CommandTimeout as long as responses are fast. Safe for concurrent use.
type commandTimeout struct {
	mu        sync.Mutex
	delay     time.Duration // smoothed
	deviation time.Duration // smoothed mean deviation from delay
}

// current returns the timeout of the next command, without its long poll.
func (t *commandTimeout) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(t.delay+deviationsInTimeout*t.deviation, dispatch.CommandTimeout), maxCommandTimeout)
}

// observe records the time that an answered command took beyond its long poll of length wait.
// The response to a long poll may come at any time before its end, which shows no delay.
func (t *commandTimeout) observe(elapsed, wait time.Duration) {
	if elapsed < wait {
		return
	}
	delay := elapsed - wait
	t.mu.Lock()
	defer t.mu.Unlock()
	difference := delay - t.delay
	t.delay += time.Duration(delayWeight * float64(difference))
	t.deviation += time.Duration(deviationWeight * float64(difference.Abs()-t.deviation))
}
