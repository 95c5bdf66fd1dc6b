package front

import "time"

// Options set the front's bounds. The zero value of a field takes its default.
type Options struct {
	DefaultDeadline     time.Duration // of a request that names none
	MaxDeadline         time.Duration // a longer one is cut to it
	RequestBodyLimit    int64         // bytes of a request's body
	ResponseBodyLimit   int64         // bytes of an answer's body
	ResponseHeaderLimit int64         // bytes of a backend server's answer headers
	MaxInFlight         int           // requests held at once, from the first byte to the last
	MaxBufferedBytes    int64         // bytes of request bodies held at once
	ReadTimeout         time.Duration // for a caller to send its body
	WriteTimeout        time.Duration // for a caller to take its answer
	DialTimeout         time.Duration // for a connection to a backend server
	IdleConnTimeout     time.Duration // after which an unused connection is closed; shorter than the servers' own
	LedgerFinishTimeout time.Duration // for the ledger to record an answer
	RetryRatio          float64       // retries allowed for each request, on average
	RetryBurst          float64       // retries allowed at once
	MaxAttempts         int           // of one request
	Now                 func() time.Time

	// RequireRequestID refuses answers that do not return the request's id. Set it
	// where the backend servers return it: it is what tells a duplicated answer from
	// the answer to the next request on the same connection.
	RequireRequestID bool
}

// Defaults of Options.
const (
	defaultDeadline      = 10 * time.Second
	defaultMaxDeadline   = 2 * time.Minute
	defaultBodyLimit     = 1 << 20
	defaultAnswerLimit   = 8 << 20
	defaultHeaderLimit   = 64 << 10
	defaultInFlight      = 8192
	defaultBuffered      = 128 << 20
	defaultReadTimeout   = 10 * time.Second
	defaultWriteTimeout  = 30 * time.Second
	defaultDialTimeout   = time.Second
	defaultIdleTimeout   = 20 * time.Second
	defaultFinishTimeout = 2 * time.Second
	defaultRetryRatio    = 0.2
	defaultRetryBurst    = 20
	defaultMaxAttempts   = 4
)

func (o Options) withDefaults() Options {
	setDefault(&o.DefaultDeadline, defaultDeadline)
	setDefault(&o.MaxDeadline, defaultMaxDeadline)
	setDefault(&o.RequestBodyLimit, defaultBodyLimit)
	setDefault(&o.ResponseBodyLimit, defaultAnswerLimit)
	setDefault(&o.ResponseHeaderLimit, defaultHeaderLimit)
	setDefault(&o.MaxInFlight, defaultInFlight)
	setDefault(&o.MaxBufferedBytes, defaultBuffered)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.IdleConnTimeout, defaultIdleTimeout)
	setDefault(&o.LedgerFinishTimeout, defaultFinishTimeout)
	setDefault(&o.RetryRatio, defaultRetryRatio)
	setDefault(&o.RetryBurst, defaultRetryBurst)
	setDefault(&o.MaxAttempts, defaultMaxAttempts)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func setDefault[T int | int64 | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
