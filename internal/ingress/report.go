package ingress

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
)

// reason is why a client was refused or its connection closed.
type reason string

const (
	reasonConnections reason = "connections" // too many connections
	reasonMemory      reason = "memory"      // the clients use all memory that they may use
	reasonHead        reason = "head"        // a head over the limit
	reasonSlow        reason = "slow"        // a body that did not arrive in time
)

// reportInterval is the minimum time between two events of a listener.
const reportInterval = time.Second

// report counts refusals by reason, and records their numbers at most once in reportInterval.
type report struct {
	listener string
	events   event.Recorder
	scope    tally.Scope

	mu      sync.Mutex
	counts  map[reason]int // since the last event; nil: none
	pending bool           // a timer will record an event
}

func (r *report) add(why reason) {
	r.scope.Tagged(map[string]string{"listener": r.listener, "reason": string(why)}).Counter("clients_refused").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[reason]int{}
	}
	r.counts[why]++
	if !r.pending {
		r.pending = true
		time.AfterFunc(reportInterval, r.record)
	}
}

func (r *report) record() {
	r.mu.Lock()
	counts := r.counts
	r.counts, r.pending = nil, false
	r.mu.Unlock()
	r.events.Record(event.ClientsRefused, r.listener, counts[reasonConnections], counts[reasonMemory], counts[reasonHead], counts[reasonSlow])
}
