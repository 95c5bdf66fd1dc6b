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
	DefaultRingEntries  = 4096 // retained for the timeline
	loggerQueueCapacity = 1024 // entries that wait to be written to the logger
	MaxListEntries      = 1000 // in one ListResponse
)

// LogOptions are the settings of a Log.
type LogOptions struct {
	VM            model.VMID
	FailureDomain model.FailureDomain
	Clock         *Clock      // shared with the peer link; nil: a new clock on the system time
	Logger        logr.Logger // Debug is written at V(1)
	RingEntries   int         // 0: DefaultRingEntries
	Level         Level       // events below this level are not recorded
	// Now and AfterFunc are the clock and the timers that bound the volume; nil: those of package time.
	Now       func() time.Time
	AfterFunc func(time.Duration, func())
}

// Log is the process's Recorder: it stamps events, retains the newest ones in a
// ring and writes them to the logger. It is safe for concurrent use. Record never
// waits for the logger; events that exceed the queue are dropped from the log, and
// LogLinesDropped reports their number. An event that recurs too often is summed up, see limit.go.
type Log struct {
	opts    LogOptions
	queue   chan Entry
	dropped atomic.Int64 // entries not written to the logger since the last LogLinesDropped

	mu            sync.Mutex
	ring          []Entry // ordered by stamp; a full ring starts at index oldest
	oldest        int
	newestEvicted Stamp               // stamp of the newest entry that left the ring
	limits        map[int]*eventLimit // by number of the event
	summaryDue    bool                // a timer will record the summaries
}

var _ Recorder = (*Log)(nil)

// NewLog returns a log. Entries are written to the logger only while Run is running.
func NewLog(opts LogOptions) *Log {
	if opts.RingEntries == 0 {
		opts.RingEntries = DefaultRingEntries
	}
	if opts.Clock == nil {
		opts.Clock = NewClock(time.Now)
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.AfterFunc == nil {
		opts.AfterFunc = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	return &Log{opts: opts, queue: make(chan Entry, loggerQueueCapacity), limits: map[int]*eventLimit{}}
}

// Record implements Recorder. Values are formatted before it returns, so the caller
// may change them afterwards.
func (l *Log) Record(def *Definition, values ...any) {
	if def.Level < l.opts.Level {
		return
	}
	attributes := formatAttributes(def, values)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.admit(def, attributes) {
		l.append(def, attributes)
	}
}

// append adds an entry to the ring and queues it for the logger. The caller holds mu.
func (l *Log) append(def *Definition, attributes []Attribute) {
	e := Entry{
		Stamp:         l.opts.Clock.Now(),
		VM:            l.opts.VM,
		FailureDomain: l.opts.FailureDomain,
		ID:            def.ID,
		Name:          def.Name,
		Level:         def.Level,
		Attributes:    attributes,
	}
	l.appendToRing(e)
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
}

// formatAttributes pairs the definition's keys with the values. A value without a key
// gets a key made of its position.
func formatAttributes(def *Definition, values []any) []Attribute {
	list := make([]Attribute, len(values))
	for i, v := range values {
		list[i].Value = fmt.Sprint(v)
		if i < len(def.Keys) {
			list[i].Key = def.Keys[i]
		} else {
			list[i].Key = fmt.Sprint("value", i)
		}
	}
	return list
}

// appendToRing adds the entry and evicts the oldest one if the ring is full. The caller
// holds mu.
func (l *Log) appendToRing(e Entry) {
	if len(l.ring) < l.opts.RingEntries {
		l.ring = append(l.ring, e)
		return
	}
	l.newestEvicted = l.ring[l.oldest].Stamp
	l.ring[l.oldest] = e
	l.oldest = (l.oldest + 1) % len(l.ring)
}

// Run writes entries to the logger until ctx is done, then writes the queued ones
// and returns nil.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case e := <-l.queue:
			l.writeToLogger(e)
		case <-ctx.Done():
			l.summarize()
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

// ListRequest requests the entries after a stamp.
type ListRequest struct {
	After Stamp `json:"after,string"`
	Limit int   `json:"limit"` // values <= 0 or above MaxListEntries mean MaxListEntries
}

// ListResponse holds the oldest retained entries after the requested stamp.
type ListResponse struct {
	Entries []Entry `json:"entries"`
	More    bool    `json:"more"`   // there are further entries after the last entry's stamp
	Missed  bool    `json:"missed"` // entries after the requested stamp were evicted from the ring
}

// List returns entries of the ring, ordered by stamp.
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
