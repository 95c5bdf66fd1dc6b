package fleet

import (
	"strings"
	"time"
)

// Configuration is the operators' configuration in force. It is immutable.
type Configuration struct {
	Version int64
	Queues  []Queue
	MaxBody int64 // bytes of a submission
}

// Queue takes submissions under a host and a path prefix.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        string // pool that runs its tasks
	Priority       int    // 0 goes first
	MaxAttempts    int    // failed runs of a task before the submission fails
	SlowdownFactor float64
	TargetLatency  time.Duration
	Advice         *AdvicePolicy // nil: any worker of the pool
}

// AdvicePolicy says what a call for advice costs and how long a ticket holds.
type AdvicePolicy struct {
	BaseLatency      time.Duration // of one call
	LatencyPerWorker time.Duration // for each worker named
	TicketValidity   time.Duration // of a ticket
}

// MatchQueue returns the queue with the longest prefix of path under host.
func (c *Configuration) MatchQueue(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) &&
			(best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Queue finds a queue by name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
