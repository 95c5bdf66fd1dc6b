package owner

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

func listEntry(id model.WorkerID, milliCPU int64) fleet.WorkerEntry {
	return fleet.WorkerEntry{ID: id, Capacity: model.Resources{MilliCPU: milliCPU}}
}

// The store is down for 6 s, while worker b shrinks from 32 to 8 cores and its entry expires. A dispatcher that went on with the last
// entries, or took them up again after the outage, would start runs on 24 cores that b does not have.
func TestCapacitiesThroughAnOutage(t *testing.T) {
	full := []fleet.WorkerEntry{listEntry("a", 32000), listEntry("b", 32000)}
	shrunk := map[model.WorkerID]model.Resources{"a": {MilliCPU: 64000}, "b": {MilliCPU: 8000}}
	l := &workerList{maxAge: 3 * time.Second, heartbeat: 1500 * time.Millisecond}
	l.update(10*time.Second, 10*time.Second, full)
	if l.needsCapacities(10 * time.Second) {
		t.Error("capacities are read although the store responds")
	}
	check := func(when string, now time.Duration, capacities map[model.WorkerID]model.Resources, wantB int64, wantOutdated int) {
		t.Helper()
		outdated := 0
		for _, e := range l.current(now, capacities) {
			if e.Outdated {
				outdated++
			}
			if e.ID == "b" && e.Capacity.MilliCPU != wantB {
				t.Errorf("%s: b has %d mCPU, want %d", when, e.Capacity.MilliCPU, wantB)
			}
			if e.ID == "a" && e.Capacity.MilliCPU != 32000 {
				t.Errorf("%s: a has %d mCPU, want those of its entry", when, e.Capacity.MilliCPU)
			}
		}
		if outdated != wantOutdated {
			t.Errorf("%s: %d outdated entries, want %d", when, outdated, wantOutdated)
		}
	}
	l.fail()
	if !l.needsCapacities(12 * time.Second) {
		t.Error("no capacities are read while the store fails")
	}
	check("during the outage", 12*time.Second, shrunk, 8000, 0)
	l.update(16*time.Second, 15900*time.Millisecond, full[:1]) // the entry of b has expired
	check("after it, without the control plane", 16*time.Second, nil, 32000, 2)
	check("after it", 16*time.Second, shrunk, 8000, 0)
	l.update(18*time.Second, 18*time.Second, full[:1])
	check("a heartbeat after it", 18*time.Second, nil, 32000, 1)
	l.update(18200*time.Millisecond, 18200*time.Millisecond, []fleet.WorkerEntry{full[0], listEntry("b", 8000)})
	check("with a new entry", 18200*time.Millisecond, nil, 8000, 0)
	l.update(18700*time.Millisecond, 18700*time.Millisecond, full[:1])
	if n := len(l.current(18700*time.Millisecond, nil)); n != 1 {
		t.Errorf("%d entries after the settle time, want that of a only", n)
	}
}
