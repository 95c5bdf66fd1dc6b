package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// A machine whose maintenance is rejected, as it is not of the wave or not known there, was not taken down. Its worker counted as
// ended until it started again, which may never happen, and got no runs.
func TestMachineWhoseMaintenanceIsRejectedIsUsed(t *testing.T) {
	for _, reason := range []fleet.RejectReason{fleet.RejectedWave, fleet.RejectedInvalid} {
		for _, takeover := range []bool{false, true} {
			h := newWaveHarness(t, 1)
			h.reportAll()
			h.d.SetWave(h.now, h.wall, wholeWave(1, 1), nil)
			rejected := false
			for range 40 {
				for _, c := range h.tick() {
					h.d.HandleMaintenanceResponse(h.now, c.Request, rejection(reason))
					rejected = true
				}
				h.reportAll()
			}
			if !rejected {
				t.Fatalf("%s: no command", reason)
			}
			if takeover {
				stored := h.d.waves[0].snapshotProgress()
				h.startOwner(testFence + 1000)
				h.d.SetWave(h.now, h.wall, wholeWave(1, 1), stored)
				h.d.ProveOwnership(testFence + 1000)
			}
			h.d.AddJob(h.now, &fleet.Submission{ID: "a", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 4)}}, testFence+2000, 0, nil)
			started := false
			for end := h.now + 3*time.Second; h.now < end && !started; {
				h.listMachines()
				h.tick()
				started = len(h.starts) > 0
				h.reportAll()
			}
			if !started {
				t.Errorf("%s, owner replaced %v: nothing is started on the machine", reason, takeover)
			}
		}
	}
}
