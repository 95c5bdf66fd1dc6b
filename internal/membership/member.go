package membership

import "filbertcross/internal/model"

// State is the state of a VM as observed by this one.
type State int

// The states of a member.
const (
	Alive   State = iota
	Suspect       // heartbeats are late or slow: gets no new work, keeps what it owns
	Dead          // heartbeats stopped, or the VM was removed from the platform's list
	Leaving       // stopping on request: gets no new work
)

// String returns the lower-case name of the state, or "unknown".
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead", "leaving"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Member is one entry VM as observed by this one.
type Member struct {
	ID            model.VMID          `json:"id"`
	Address       string              `json:"address"` // of its peer link
	HTTPAddress   string              `json:"http_address"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	State         State               `json:"state"`
	Digest        Digest              `json:"digest"`
}

// Digest is the summary of its own state that a VM sends with its heartbeats.
type Digest struct {
	Revision   int64                                  `json:"revision"`         // of the active configuration
	FreeSlots  map[string]int                         `json:"free_slots"`       // of the backend servers it owns, by service
	Queued     map[string]int                         `json:"queued,omitempty"` // requests waiting for a slot, by service
	Partitions map[model.PartitionID]PartitionSummary `json:"partitions,omitempty"`
}

// PartitionSummary describes a partition; its owner publishes it.
type PartitionSummary struct {
	Epoch   int64           `json:"epoch"`
	Free    model.Resources `json:"free"`
	Waiting int             `json:"waiting"` // tasks that wait for placement
}

// View lists the known members, including this VM. Safe for concurrent use.
type View interface {
	Self() Member
	Members() []Member
}
