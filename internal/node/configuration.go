package node

import (
	"sync"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// configurationCache holds the configuration with the highest version that this process has
// received. It is safe for concurrent use.
type configurationCache struct {
	parse  func([]byte) (*fleet.Configuration, error)
	events event.Recorder

	mu      sync.Mutex
	raw     []byte
	current *fleet.Configuration
	changed chan struct{} // closed at the next change
}

func newConfigurationCache(parse func([]byte) (*fleet.Configuration, error), events event.Recorder) *configurationCache {
	return &configurationCache{parse: parse, events: events, changed: make(chan struct{})}
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

func (c *configurationCache) version() int64 {
	conf, _, _ := c.snapshot()
	if conf == nil {
		return 0
	}
	return conf.Version
}
