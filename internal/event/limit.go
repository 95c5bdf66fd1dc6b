package event

import (
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the entries of one event. Those beyond are summed up in one EventsSummedUp a second.
const (
	eventsPerSecond = 250
	eventBurst      = 2000 // entries, so that only a lasting storm is summed up
	summaryInterval = time.Second
)

// eventLimit bounds the entries of one event and sums up those beyond the bound.
type eventLimit struct {
	def     *Definition
	limiter *rate.Limiter
	// count, since, first and last describe the entries since the last summary that were not recorded.
	count       int64
	since       time.Time
	first, last []Attribute
}

// admit reports whether an event may be recorded now. If not, it is added to the summary, which is
// recorded after summaryInterval. The caller holds l.mu.
func (l *Log) admit(def *Definition, attributes []Attribute) bool {
	now := l.opts.Now()
	limit := l.limits[def.ID]
	if limit == nil {
		limit = &eventLimit{def: def, limiter: rate.NewLimiter(eventsPerSecond, eventBurst)}
		l.limits[def.ID] = limit
	}
	if limit.limiter.AllowN(now, 1) {
		return true
	}
	if limit.count == 0 {
		limit.since, limit.first = now, attributes
		if !l.summaryDue {
			l.summaryDue = true
			l.opts.AfterFunc(summaryInterval, l.summarize)
		}
	}
	limit.count++
	limit.last = attributes
	return false
}

// summarize records a summary of each event that was not recorded since the last one.
func (l *Log) summarize() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summaryDue = false
	now := l.opts.Now()
	for _, limit := range l.limits {
		if limit.count == 0 {
			continue
		}
		l.append(EventsSummedUp, formatAttributes(EventsSummedUp, []any{
			limit.def.ID, limit.def.Name, limit.count, now.Sub(limit.since), joinAttributes(limit.first), joinAttributes(limit.last),
		}))
		limit.count, limit.first, limit.last = 0, nil, nil
	}
}

func joinAttributes(list []Attribute) string {
	parts := make([]string, len(list))
	for i, a := range list {
		parts[i] = a.Key + "=" + a.Value
	}
	return strings.Join(parts, " ")
}
