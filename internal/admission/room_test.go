package admission

import "testing"

// Load: 40 VMs accept submissions of the largest size without end, and none of them ends. The owner
// counts each one report late. Small submissions are still accepted.
func TestLargeSubmissionsLeaveRoomForSmallOnes(t *testing.T) {
	const vms, limit, large, small = 40, 100 << 20, 1 << 20, 8 << 10
	gates := make([]RoomGate, vms)
	held, late := int64(0), int64(0)
	for range 100 {
		accepted := int64(0)
		for i := range gates {
			gates[i].Set(PartOfRoom(limit, held, vms))
			for gates[i].Take(large) {
				accepted += large
			}
			if !gates[i].Take(small) {
				t.Fatalf("a small submission is refused beside %d MB of %d MB", held>>20, limit>>20)
			}
		}
		held, late = held+late, accepted
	}
	if held += late; held >= limit {
		t.Errorf("%d MB of large submissions are held, want less than %d MB", held>>20, limit>>20)
	}
}

func TestNoRoomRefusesAll(t *testing.T) {
	g := RoomGate{}
	g.Set(PartOfRoom(100, 100, 3))
	if g.Take(1) {
		t.Error("a submission is accepted without room")
	}
	g.Set(PartOfRoom(100, 0, 1))
	if !g.Take(1 << 10) {
		t.Error("a submission larger than the part of the VM is refused while there is room")
	}
	if g.Take(1) {
		t.Error("a submission is accepted after the room was taken")
	}
}
