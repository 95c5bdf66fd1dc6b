package event

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"filbertcross/internal/model"
)

// Bounds of a Log.
const (
	DefaultRingEntries  = 4096 // kept for the time line
	loggerQueueCapacity = 1024 // waiting to be written to the logger
	MaxListEntries      = 1000 // in one answer of List
)

// LogOptions are the settings of a Log.
type LogOptions struct {
	VM            model.VMID
	FailureDomain model.FailureDomain
	Clock         *Clock      // shared with the peer link
	Logger        logr.Logger // Debug is written at V(1)
	RingEntries   int         // 0: DefaultRingEntries
	Level         Level       // lowest level that is recorded
}

// Log is the process's Recorder: it stamps events, keeps the newest in a ring and
// writes them to the logger. Safe for concurrent use; Record never waits for the
// logger.
type Log struct {
	opts    LogOptions
	queue   chan Entry
	dropped atomic.Int64 // entries not written to the logger since the last notice

	mu            sync.Mutex
	ring          []Entry // in order of stamps, oldest at start once full
	oldest        int
	newestEvicted Stamp // stamp of the newest entry that left the ring
}

var _ Recorder = (*Log)(nil)

// NewLog returns a log; its entries reach the logger while Run runs.
func NewLog(opts LogOptions) *Log {
	if opts.RingEntries == 0 {
		opts.RingEntries = DefaultRingEntries
	}
	if opts.Clock == nil {
		opts.Clock = NewClock(time.Now)
	}
	return &Log{opts: opts, queue: make(chan Entry, loggerQueueCapacity)}
}

// Record stamps and keeps the event. Values are formatted at once, so that the
// caller may change them afterwards.
func (l *Log) Record(def *Definition, values ...any) {
	if def.Level < l.opts.Level {
		return
	}
	e := Entry{
		VM:            l.opts.VM,
		FailureDomain: l.opts.FailureDomain,
		ID:            def.ID,
		Name:          def.Name,
		Level:         def.Level,
		Attributes:    formatAttributes(def, values),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.opts.Clock.Now()
	l.appendToRing(e)
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
}

// attributes pairs the definition's keys with the values; a value without a key
// keeps its position as its name.
func formatAttributes(def *Definition, values []any) []Attribute {
	list := make([]Attribute, len(values))
	for i, v := range values {
		key := fmt.Sprint("value", i)
		if i < len(def.Keys) {
			key = def.Keys[i]
		}
		list[i] = Attribute{Key: key, Value: fmt.Sprint(v)}
	}
	return list
}

// append is called with mu held.
func (l *Log) appendToRing(e Entry) {
	if len(l.ring) < l.opts.RingEntries {
		l.ring = append(l.ring, e)
		return
	}
	l.newestEvicted = l.ring[l.oldest].Stamp
	l.ring[l.oldest] = e
	l.oldest = (l.oldest + 1) % len(l.ring)
}

// Run writes entries to the logger until ctx is done, then those still queued.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case e := <-l.queue:
			l.writeToLogger(e)
		case <-ctx.Done():
			l.flushLoggerQueue()
			return nil
		}
	}
}

func (l *Log) flushLoggerQueue() {
	for {
		select {
		case e := <-l.queue:
			l.writeToLogger(e)
		default:
			return
		}
	}
}

func (l *Log) writeToLogger(e Entry) {
	if n := l.dropped.Swap(0); n > 0 {
		l.Record(LogLinesDropped, n)
	}
	values := make([]any, 0, 2*len(e.Attributes)+10)
	values = append(values, "event", e.ID, "name", e.Name, "vm", e.VM, "failure_domain", e.FailureDomain, "stamp", uint64(e.Stamp))
	for _, a := range e.Attributes {
		values = append(values, a.Key, a.Value)
	}
	switch e.Level {
	case Debug:
		l.opts.Logger.V(1).Info(e.Name, values...)
	case Error:
		l.opts.Logger.Error(nil, e.Name, values...)
	default:
		l.opts.Logger.Info(e.Name, values...)
	}
}

// ListRequest asks for the entries after a stamp.
type ListRequest struct {
	After Stamp `json:"after,string"`
	Limit int   `json:"limit"` // 0 or above MaxListEntries: MaxListEntries
}

// ListAnswer holds the oldest entries after the requested stamp.
type ListResponse struct {
	Entries []Entry `json:"entries"`
	More    bool    `json:"more"`   // ask again after the last entry's stamp
	Missed  bool    `json:"missed"` // entries after the requested stamp have left the ring
}

// List returns entries of the ring in the order of their stamps.
func (l *Log) List(r ListRequest) ListResponse {
	limit := r.Limit
	if limit <= 0 || limit > MaxListEntries {
		limit = MaxListEntries
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	response := ListResponse{Missed: l.newestEvicted > r.After}
	for i := range l.ring {
		e := l.ring[(l.oldest+i)%len(l.ring)]
		if e.Stamp <= r.After {
			continue
		}
		if len(response.Entries) == limit {
			response.More = true
			break
		}
		response.Entries = append(response.Entries, e)
	}
	return response
}
