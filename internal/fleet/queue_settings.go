package fleet

import "time"

// QueueSettings are the settings of a queue that bind the submissions it has accepted, also after
// operators have removed it. The zero value means that they are not known.
type QueueSettings struct {
	Version        int64         `cbor:"1,keyasint,omitempty"` // of the configuration that they are from
	Service        string        `cbor:"2,keyasint,omitempty"` // worker pool
	Priority       int           `cbor:"3,keyasint,omitempty"`
	MaxAttempts    int           `cbor:"4,keyasint,omitempty"`
	SlowdownFactor float64       `cbor:"5,keyasint,omitempty"`
	TargetLatency  time.Duration `cbor:"6,keyasint,omitempty"`
	Advice         *AdvicePolicy `cbor:"7,keyasint,omitempty"` // nil: every worker of the pool is allowed
}

// Settings returns the queue's settings in the configuration with the version.
func (q *Queue) Settings(version int64) QueueSettings {
	return QueueSettings{
		Version: version, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		SlowdownFactor: q.SlowdownFactor, TargetLatency: q.TargetLatency, Advice: q.Advice,
	}
}

// Known reports whether the settings are from a configuration.
func (s *QueueSettings) Known() bool { return s.Version != 0 }

// Equal reports whether both settings are the same, whatever configurations they are from.
func (s *QueueSettings) Equal(other QueueSettings) bool {
	a, b := *s, other
	if (a.Advice == nil) != (b.Advice == nil) || a.Advice != nil && *a.Advice != *b.Advice {
		return false
	}
	a.Version, a.Advice, b.Version, b.Advice = 0, nil, 0, nil
	return a == b
}
