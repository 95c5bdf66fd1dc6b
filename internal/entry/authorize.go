package entry

import (
	"net/http"
	"time"

	"filbertcross/internal/fleet"
)

// AgeLimits bound the age of the configuration by which a VM answers. The age is the time since the
// VM last knew that its configuration was the newest.
type AgeLimits struct {
	Reject time.Duration // up to which it may say that a queue or a key does not exist
	Accept time.Duration // up to which it accepts a key that the configuration lists
}

// access is the result of authorize. If status is not 0, the request gets that response.
type access struct {
	queue   fleet.Queue
	account string // of the request's key; empty for a public queue, or if the configuration has no accounts
	status  int
	reason  string
}

// authorize determines the queue and the account of a request from the configuration and its age. It
// is the only place that says of a queue or a key that it does not exist. What an old configuration
// cannot say gets 503: the queue or key may have been added or withdrawn since.
func authorize(conf *fleet.Configuration, age time.Duration, limits AgeLimits, host, path, key string) access {
	if conf == nil {
		return access{status: http.StatusServiceUnavailable, reason: "no configuration yet"}
	}
	queue, ok := conf.MatchQueue(host, path)
	switch {
	case !ok && age > limits.Reject:
		return access{status: http.StatusServiceUnavailable, reason: "no such queue in a configuration that may be old"}
	case !ok:
		return access{status: http.StatusNotFound, reason: "no queue has this host and prefix"}
	case conf.Accounts == nil || queue.Public:
		return access{queue: queue}
	}
	account, ok := conf.Accounts.ByKey(key)
	switch {
	case ok && age > limits.Accept:
		return access{status: http.StatusServiceUnavailable, reason: "the key may have been withdrawn since the last known configuration"}
	case ok:
		return access{queue: queue, account: account.Name}
	case age > limits.Reject:
		return access{status: http.StatusServiceUnavailable, reason: "no such key in a configuration that may be old"}
	}
	return access{status: http.StatusUnauthorized, reason: "no account has this key"}
}
