package node

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// configurationCache holds the configuration with the highest version that this process has
// received. It is safe for concurrent use.
type configurationCache struct {
	parse  func([]byte) (*fleet.Configuration, error)
	events event.Recorder
	scope  tally.Scope

	mu      sync.Mutex
	raw     []byte
	current *fleet.Configuration
	changed chan struct{} // closed at the next change
}

func newConfigurationCache(parse func([]byte) (*fleet.Configuration, error), events event.Recorder, scope tally.Scope) *configurationCache {
	return &configurationCache{parse: parse, events: events, scope: scope, changed: make(chan struct{})}
}

// update parses the operators' configuration and stores it if its version is higher. It reports
// whether it was stored. source is recorded in events.
func (c *configurationCache) update(raw []byte, source string) bool {
	conf, err := c.parse(raw)
	if err != nil {
		c.events.Record(event.OperatorConfigurationInvalid, source, err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && conf.Version <= c.current.Version {
		return false
	}
	c.raw, c.current = raw, conf
	close(c.changed)
	c.changed = make(chan struct{})
	c.scope.Gauge("configuration_version").Update(float64(conf.Version))
	c.scope.Gauge("configuration_size_bytes").Update(float64(len(raw)))
	c.events.Record(event.OperatorConfigurationActivated, conf.Version, source, len(conf.Queues))
	return true
}

// snapshot returns the active configuration, its bytes as the operators wrote them, and a channel
// that is closed at the next change. Before the first configuration it returns nil.
func (c *configurationCache) snapshot() (*fleet.Configuration, []byte, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.raw, c.changed
}

// version returns the active version; 0: none.
func (c *configurationCache) version() int64 {
	version, _ := c.activeBytes()
	return version
}

// activeBytes returns the active version and its bytes as the operators wrote them; 0: none.
func (c *configurationCache) activeBytes() (int64, []byte) {
	conf, raw, _ := c.snapshot()
	if conf == nil {
		return 0, nil
	}
	return conf.Version, raw
}

// Sources of the operators' configuration in events and metrics.
const (
	sourceStore = "store"
	sourceOwner = "owner"
)

// readSeries counts the reads of the configuration from one source and records the first failure
// of a series and its end. It is safe for concurrent use.
type readSeries struct {
	source string
	events event.Recorder
	scope  tally.Scope

	mu       sync.Mutex
	failures int
	since    time.Time // of the first failure of the series
}

func newReadSeries(source string, events event.Recorder, scope tally.Scope) *readSeries {
	return &readSeries{source: source, events: events, scope: scope.Tagged(map[string]string{"source": source})}
}

// observe records the result of a read that began at start; active is the active version after it.
func (r *readSeries) observe(start time.Time, active int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.scope.Counter("configuration_read_failures").Inc(1)
		if r.failures++; r.failures == 1 {
			r.since = start
			r.events.Record(event.OperatorConfigurationReadFailed, r.source, active, time.Since(start), err)
		}
		return
	}
	r.scope.Counter("configuration_reads").Inc(1)
	if r.failures > 0 {
		r.events.Record(event.OperatorConfigurationReadRecovered, r.source, active, r.failures, time.Since(r.since))
		r.failures = 0
	}
}
