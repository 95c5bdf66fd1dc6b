package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"filbertcross/platform/standin"
)

// keyBound is the time within which a change of keys must be in force at every VM: config-apply-ms
// of the stand-in's settings.
const keyBound = 2 * time.Second

func TestKeysTakeEffectEverywhereWithinTheBoundAndNotAfterARestart(t *testing.T) {
	testPlatform := newTestPlatform(t, 2)
	testPlatform.SetAccounts(standin.Account{Name: "a", Keys: []string{"old"}, Weight: 5}, standin.Account{Name: "b", Keys: []string{"other"}, Weight: 5})
	testPlatform.PutConfiguration(2)
	owner, follower := ownerAndFollower(t, testPlatform)
	status := func(v *testVM, key, path string) int {
		c := newTestCaller(t, testPlatform)
		c.http.Key = key
		code, _ := c.do(http.MethodGet, v, path, "")
		return code
	}
	for _, v := range []*testVM{owner, follower} {
		eventually(t, "a key works", keyBound, func() bool { return status(v, "old", standin.QueuePrefix) == http.StatusOK })
		if code := status(v, "none", standin.QueuePrefix); code != http.StatusUnauthorized {
			t.Errorf("an unknown key gets %d, want 401", code)
		}
	}
	c := newTestCaller(t, testPlatform)
	c.http.Key = "old"
	c.submit(follower, jobID(1), "ms=300")
	if code := status(owner, "other", standin.QueuePrefix+jobID(1)); code != http.StatusGone {
		t.Errorf("another account's submission gets %d, want 410", code)
	}
	testPlatform.SetAccounts(standin.Account{Name: "a", Keys: []string{"new"}, Weight: 5}, standin.Account{Name: "b", Keys: []string{"other"}, Weight: 5})
	testPlatform.PutConfiguration(3)
	for _, v := range []*testVM{owner, follower} {
		eventually(t, "the new key works", keyBound, func() bool { return status(v, "new", standin.QueuePrefix) == http.StatusOK })
		if code := status(v, "old", standin.QueuePrefix); code != http.StatusUnauthorized {
			t.Errorf("a withdrawn key gets %d, want 401", code)
		}
	}
	restarted := startVM(t, testPlatform, "c")
	for end := time.Now().Add(keyBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if code := status(restarted, "old", standin.QueuePrefix); code == http.StatusOK {
			t.Fatal("a withdrawn key works at a VM that has just started")
		}
	}
	eventually(t, "the submission completes", 8*time.Second, func() bool {
		c.http.Key = "new"
		return strings.Contains(c.state(owner, jobID(1)), "completed")
	})
}

// Guards against a definite answer of a VM that has had neither the store nor an owner for longer
// than a change may take: a queue, a key added and a key withdrawn meanwhile.
func TestVMWithoutStoreSaysNothingDefinite(t *testing.T) {
	testPlatform := newTestPlatform(t, 1)
	testPlatform.SetAccounts(standin.Account{Name: "a", Keys: []string{"kept", "withdrawn"}, Weight: 5})
	testPlatform.PutConfiguration(2)
	v := startVM(t, testPlatform, "a")
	status := func(key, path string) int {
		c := newTestCaller(t, testPlatform)
		c.http.Key = key
		code, _ := c.do(http.MethodGet, v, path, "")
		return code
	}
	eventually(t, "a key works", 5*time.Second, func() bool { return status("withdrawn", standin.QueuePrefix) == http.StatusOK })
	testPlatform.Store.SetFaults(standin.Faults{Unavailable: true})
	testPlatform.SetAccounts(standin.Account{Name: "a", Keys: []string{"kept", "added"}, Weight: 5})
	testPlatform.PutConfigurationWithQueues(3, 1)
	time.Sleep(keyBound + time.Second)
	for name, code := range map[string]int{
		"queue added meanwhile":   status("kept", standin.UnusedQueuePrefix(0)),
		"key added meanwhile":     status("added", standin.QueuePrefix),
		"key withdrawn meanwhile": status("withdrawn", standin.QueuePrefix),
	} {
		if code != http.StatusServiceUnavailable {
			t.Errorf("%s: %d, want 503", name, code)
		}
	}
	testPlatform.Store.SetFaults(standin.Faults{})
	eventually(t, "the added key works and the withdrawn one does not", 5*time.Second, func() bool {
		return status("added", standin.QueuePrefix) == http.StatusOK && status("withdrawn", standin.QueuePrefix) == http.StatusUnauthorized
	})
}

// Guards against a configuration that counts as recent because the process, or its clock, stood
// still while the response waited to be read.
func TestAgeOfConfigurationCountsFromBeforeTheCall(t *testing.T) {
	now := time.Hour
	n := &Node{}
	n.opts.Owner.Clock = func() time.Duration { return now }
	if got := n.readReflects(now-5*time.Second, 500*time.Millisecond, true); got != now-5*time.Second {
		t.Errorf("a read with changes that began 5 s ago reflects the store %v ago", now-got)
	}
	if got := n.readReflects(now-5*time.Second, 500*time.Millisecond, false); got != now-4500*time.Millisecond {
		t.Errorf("a long poll of 500 ms that began 5 s ago reflects the store %v ago", now-got)
	}
	n.configurations = newConfigurationCache(nil, nil, nil)
	n.confirmAnnounced(now-5*time.Second, attachResponse{ConfigurationVersion: 1})
	if n.ConfigurationAge() != now {
		t.Error("an announcement of a version that is not active confirms the active one")
	}
}
