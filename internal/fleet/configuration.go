package fleet

import (
	"strings"
	"time"
)

// Configuration is the active operators' configuration. It is immutable.
type Configuration struct {
	Version int64
	Queues  []Queue
	MaxBody int64 // maximum size of a submission's body in bytes
	// MaxHeader is the maximum size of a request's head in bytes; 0: not set.
	MaxHeader int64
	// Accounts are the client accounts; nil: requests need no API key.
	Accounts *Accounts
}

// Queue accepts the submissions sent to a host under a path prefix.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        string // worker pool that runs its tasks
	Priority       int    // 0 is the highest
	MaxAttempts    int    // failed runs of one task after which the submission fails
	SlowdownFactor float64
	TargetLatency  time.Duration
	Advice         *AdvicePolicy // nil: every worker of the pool is allowed
	Public         bool          // requests need no API key; their submissions belong to no account
}

// AdvicePolicy describes the latency of a queue's advice service and the validity of its tickets.
type AdvicePolicy struct {
	BaseLatency      time.Duration `cbor:"1,keyasint"` // of one request, without the part per worker
	LatencyPerWorker time.Duration `cbor:"2,keyasint"` // added for each worker in the request
	TicketValidity   time.Duration `cbor:"3,keyasint"`
}

// Latency returns the time that the service takes for a request that names n workers.
func (p *AdvicePolicy) Latency(n int) time.Duration {
	return p.BaseLatency + ClampDuration(float64(n)*float64(p.LatencyPerWorker))
}

// MatchQueue returns the queue of host with the longest prefix that matches path.
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

// Queue returns the queue with the name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
