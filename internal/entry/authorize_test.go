package entry

import (
	"net/http"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

var testLimits = AgeLimits{Reject: 3 * time.Second, Accept: 5 * time.Second}

// accountConfiguration has a queue that needs a key, a public one, and two accounts.
func accountConfiguration() *fleet.Configuration {
	c := &fleet.Configuration{Version: 1, Accounts: fleet.NewAccounts(), Queues: []fleet.Queue{
		{Name: "keyed", Host: "example.com", Prefix: "/keyed/"}, {Name: "public", Host: "example.com", Prefix: "/public/", Public: true},
	}}
	for _, name := range []string{"a", "b"} {
		c.Accounts.Add(fleet.Account{Name: name, Weight: 2, Quota: model.Resources{MilliCPU: 8000}})
		c.Accounts.AddKey("key-"+name, name)
	}
	return c
}

// Guards against a definite no, or the acceptance of a withdrawn key, from a configuration that may
// have been replaced: a VM without owner and store for 5 s, or paused for 5 s, says neither.
func TestAuthorizeSaysOnlyWhatTheAgeOfTheConfigurationAllows(t *testing.T) {
	open := accountConfiguration()
	open.Accounts = nil
	for _, c := range []struct {
		name      string
		conf      *fleet.Configuration
		age       time.Duration
		path, key string
		status    int
		account   string
	}{
		{"no configuration", nil, 0, "/keyed/1", "key-a", http.StatusServiceUnavailable, ""},
		{"key of an account", accountConfiguration(), time.Second, "/keyed/1", "key-a", 0, "a"},
		{"unknown key", accountConfiguration(), time.Second, "/keyed/1", "other", http.StatusUnauthorized, ""},
		{"no key", accountConfiguration(), time.Second, "/keyed/1", "", http.StatusUnauthorized, ""},
		{"public queue, no key", accountConfiguration(), time.Second, "/public/1", "", 0, ""},
		{"public queue, unknown key", accountConfiguration(), time.Hour, "/public/1", "other", 0, ""},
		{"unknown queue", accountConfiguration(), time.Second, "/other/1", "key-a", http.StatusNotFound, ""},
		{"unknown queue, old", accountConfiguration(), testLimits.Reject + 1, "/other/1", "key-a", http.StatusServiceUnavailable, ""},
		{"unknown key, old", accountConfiguration(), testLimits.Reject + 1, "/keyed/1", "other", http.StatusServiceUnavailable, ""},
		{"known key, within the time to withdraw it", accountConfiguration(), testLimits.Accept, "/keyed/1", "key-a", 0, "a"},
		{"known key, possibly withdrawn", accountConfiguration(), testLimits.Accept + 1, "/keyed/1", "key-a", http.StatusServiceUnavailable, ""},
		{"no accounts configured, old", open, time.Hour, "/keyed/1", "", 0, ""},
	} {
		got := authorize(c.conf, c.age, testLimits, "example.com", c.path, c.key)
		if got.status != c.status || got.account != c.account {
			t.Errorf("%s: status %d, account %q, want %d, %q", c.name, got.status, got.account, c.status, c.account)
		}
	}
}

// Guards against a submission that waits for ever: no task, or not its whole gang, fits the quota.
func TestSubmissionThatNoQuotaAllowsIsNamed(t *testing.T) {
	account := fleet.Account{Name: "a", Quota: model.Resources{MilliCPU: 8000}}
	step := fleet.Step{Tasks: 3, Demand: model.Resources{MilliCPU: 3000, MemoryMiB: 1 << 20}}
	gang, wide := step, step
	gang.Gang, wide.Demand.MilliCPU = true, 9000
	for _, c := range []struct {
		name string
		step fleet.Step
		ok   bool
	}{{"tasks one after the other", step, true}, {"gang", gang, false}, {"one task", wide, false}} {
		err := checkQuota(&fleet.Submission{Steps: []fleet.Step{c.step}}, account)
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
