package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Load: an account fills its quota while half of the cluster is idle. Only that account is short, and
// only after a while; the shortage ends some time after its work.
func TestShortageOfAQuotaIsThatAccountsOnly(t *testing.T) {
	h := newAccountHarness(t, 2, model.Resources{MilliCPU: 32000}, 50, 50)
	h.submitFor(0, "quick", "full", tasks(8, 8))
	h.submitFor(1, "quick", "other", tasks(1, 8))
	begun := h.now
	h.runFor(3*time.Second, 500*time.Millisecond, func(time.Duration) {
		short := h.d.AccountsShortOfQuota(h.now)
		elapsed := h.now - begun
		want := elapsed > shortageDelay+50*time.Millisecond && elapsed < 500*time.Millisecond+shortageHold
		never := elapsed < shortageDelay || elapsed > 500*time.Millisecond+shortageHold+200*time.Millisecond
		switch {
		case h.d.ShortOfCapacity(h.now):
			t.Fatalf("capacity is short after %v although half of it is free", elapsed)
		case want && (len(short) != 1 || short[0] != "a0"), never && len(short) > 0:
			t.Fatalf("after %v the accounts %v are short of their quota", elapsed, short)
		}
	})
}

// Load: twice the work that fits, and a flood beyond its account's rate on an empty cluster. Only the
// first makes capacity short.
func TestCapacityIsShortOnlyForWorkWithinTheRates(t *testing.T) {
	h := newAccountHarness(t, 1, model.Resources{}, 1, 50)
	h.submitFor(0, "quick", "first", tasks(4, 8))
	for _, id := range []string{"x", "y", "z"} {
		h.submitFor(0, "quick", fleet.JobID(id), tasks(4, 8)) // beyond the rate
	}
	h.runFor(time.Second, 2*time.Second, func(time.Duration) {
		if h.d.ShortOfCapacity(h.now) {
			t.Fatal("a flood makes capacity short")
		}
	})
	h.submitFor(1, "quick", "usual", tasks(4, 8))
	h.runFor(600*time.Millisecond, 2*time.Second, func(time.Duration) {})
	if !h.d.ShortOfCapacity(h.now) {
		t.Fatal("work within the rate waits, but capacity is not short")
	}
}
