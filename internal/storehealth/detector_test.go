package storehealth

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// usualCalls makes calls of the given latency, one after the other, and returns the time of the last.
func usualCalls(d *Detector, latency time.Duration) time.Duration {
	now := time.Duration(0)
	for range 50 {
		call := d.Begin(now)
		now += latency
		d.End(now, call, Answered)
	}
	return now
}

func TestDetectorSuspectsSilenceSoonAndDeclaresItLater(t *testing.T) {
	d := NewDetector()
	now := usualCalls(d, 4*ms)
	d.Begin(now)
	for _, c := range []struct {
		after time.Duration
		want  State
	}{{50 * ms, Answering}, {70 * ms, Suspect}, {790 * ms, Suspect}, {800 * ms, Unavailable}} {
		if got := d.State(now + c.after); got != c.want {
			t.Errorf("after %v without a response: %v, want %v", c.after, got, c.want)
		}
	}
}

func TestDetectorAllowsForUsualLatency(t *testing.T) {
	d := NewDetector()
	now := usualCalls(d, 240*ms)
	d.Begin(now)
	if got := d.State(now + 300*ms); got != Answering {
		t.Errorf("after 300 ms of a usual 240 ms: %v", got)
	}
	if got := d.State(now + 700*ms); got != Suspect {
		t.Errorf("after 700 ms of a usual 240 ms: %v", got)
	}
}

// Responses to some writes are lost while the store answers others.
func TestDetectorIgnoresLostResponsesBesideAnswers(t *testing.T) {
	d := NewDetector()
	now := usualCalls(d, 4*ms)
	d.Begin(now) // has no response
	for range 40 {
		call := d.Begin(now)
		now += 25 * ms
		d.End(now, call, Answered)
		if got := d.State(now); got != Answering {
			t.Fatalf("%v at %v", got, now)
		}
	}
}

func TestDetectorDeclaresRejectingStoreWithoutSuspicion(t *testing.T) {
	d := NewDetector()
	now := usualCalls(d, 4*ms)
	for end := now + UnavailableAfter; now < end; now += 20 * ms {
		if got := d.State(now); got != Answering {
			t.Fatalf("%v at %v", got, now)
		}
		d.End(now+4*ms, d.Begin(now), Rejected)
	}
	if got := d.State(now); got != Unavailable {
		t.Fatalf("%v after rejections for %v", got, UnavailableAfter)
	}
	d.End(now+4*ms, d.Begin(now), Answered)
	if got := d.State(now + 4*ms); got != Answering {
		t.Fatalf("%v after an answer", got)
	}
}
