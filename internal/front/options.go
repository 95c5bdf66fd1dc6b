package front

import "time"

// Options configure a Handler. A field with the zero value gets its default.
type Options struct {
	DefaultDeadline     time.Duration // of a request without a deadline
	MaxDeadline         time.Duration // a later deadline is reduced to it
	RequestBodyLimit    int64         // bytes
	ResponseBodyLimit   int64         // bytes
	ResponseHeaderLimit int64         // bytes of a backend server's response headers
	MaxInFlight         int           // requests on this VM at once, from acceptance until the response is written
	MaxBufferedBytes    int64         // bytes reserved for the request bodies of all requests at once
	ReadTimeout         time.Duration // for a caller to send its body
	WriteTimeout        time.Duration // for a caller to receive its response
	DialTimeout         time.Duration // to connect to a backend server
	IdleConnTimeout     time.Duration // closes idle connections; must be shorter than the backend servers' idle timeout
	LedgerFinishTimeout time.Duration // for the ledger to record a response
	RetryRatio          float64       // retries per request on average
	RetryBurst          float64       // retries at once, beyond the average
	MaxAttempts         int           // of one request, the first one included
	Now                 func() time.Time

	// RequireRequestID rejects responses that do not return the request's id. Set it
	// if the backend servers return the id: only the id distinguishes a duplicated
	// response from the response to the next request on the same connection.
	RequireRequestID bool
}

// Defaults of Options.
const (
	defaultDeadline            = 10 * time.Second
	defaultMaxDeadline         = 2 * time.Minute
	defaultRequestBodyLimit    = 1 << 20
	defaultResponseBodyLimit   = 8 << 20
	defaultResponseHeaderLimit = 64 << 10
	defaultMaxInFlight         = 8192
	defaultMaxBufferedBytes    = 128 << 20
	defaultReadTimeout         = 10 * time.Second
	defaultWriteTimeout        = 30 * time.Second
	defaultDialTimeout         = time.Second
	defaultIdleConnTimeout     = 20 * time.Second
	defaultLedgerFinishTimeout = 2 * time.Second
	defaultRetryRatio          = 0.2
	defaultRetryBurst          = 20
	defaultMaxAttempts         = 4
)

func (o Options) withDefaults() Options {
	setDefault(&o.DefaultDeadline, defaultDeadline)
	setDefault(&o.MaxDeadline, defaultMaxDeadline)
	setDefault(&o.RequestBodyLimit, defaultRequestBodyLimit)
	setDefault(&o.ResponseBodyLimit, defaultResponseBodyLimit)
	setDefault(&o.ResponseHeaderLimit, defaultResponseHeaderLimit)
	setDefault(&o.MaxInFlight, defaultMaxInFlight)
	setDefault(&o.MaxBufferedBytes, defaultMaxBufferedBytes)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.IdleConnTimeout, defaultIdleConnTimeout)
	setDefault(&o.LedgerFinishTimeout, defaultLedgerFinishTimeout)
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
