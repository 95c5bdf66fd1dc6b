package admission

import "sync"

// Room is how much memory in bytes the submissions of a VM's callers may take in addition.
type Room struct {
	Small int64 `json:"small"` // of submissions up to smallSubmission
	Large int64 `json:"large"` // of others, which may fill only a part of the owner's memory
	// Ample is set while little is held. A single submission may then be larger than the part of one VM.
	Ample bool `json:"ample,omitempty"`
}

const (
	// smallSubmission in bytes is well above that of usual submissions.
	smallSubmission = 64 << 10
	// largeDivisor is the divisor of the share that large submissions may fill.
	largeDivisor = 2
	// ampleDivisor is the divisor of the share below which little is held.
	ampleDivisor = 4
	// unseenReports is the number of reports in which the owner may count a submission too late.
	unseenReports = 2
)

// PartOfRoom returns the part of each of a number of VMs of what an owner can hold beside what it holds.
func PartOfRoom(limit, held int64, vms int) Room {
	parts := int64(unseenReports * max(vms, 1))
	return Room{
		Small: max(limit-held, 0) / parts,
		Large: max(limit/largeDivisor-held, 0) / parts,
		Ample: held < limit/ampleDivisor,
	}
}

// RoomGate bounds the memory of the submissions that a VM accepts between two reports of the owner,
// which holds them. It is safe for concurrent use.
type RoomGate struct {
	mu   sync.Mutex
	room Room
}

// Set sets what the VM may accept until the next report.
func (g *RoomGate) Set(r Room) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room = r
}

// Take takes room for a submission of n bytes and reports whether there was enough.
func (g *RoomGate) Take(n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	room := &g.room.Small
	if n > smallSubmission {
		room = &g.room.Large
	}
	if *room < n && !(g.room.Ample && *room > 0) {
		return false
	}
	*room -= n
	return true
}
