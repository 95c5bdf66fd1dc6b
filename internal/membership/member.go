package membership

import "filbertcross/internal/model"

// State is what this VM believes of another one.
type State int

// The states of a member.
const (
	Alive   State = iota
	Suspect       // heartbeats are late: given no new work, loses nothing it owns
	Dead          // heartbeats stopped, or the platform's list dropped it
	Leaving       // stopping on request: given no new work
)

// String names the state.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead", "leaving"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Member is one entry VM as seen from this one.
type Member struct {
	ID            model.VMID          `json:"id"`
	Address       string              `json:"address"` // of its peer link
	HTTPAddress   string              `json:"http_address"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	State         State               `json:"state"`
	Digest        Digest              `json:"digest"`
}

// Digest is what a VM tells the others of itself in every heartbeat.
type Digest struct {
	Revision   int64                                  `json:"revision"`         // of the configuration in force
	FreeSlots  map[string]int                         `json:"free_slots"`       // of owned backend servers, by service
	Queued     map[string]int                         `json:"queued,omitempty"` // requests waiting for a slot, by service
	Partitions map[model.PartitionID]PartitionSummary `json:"partitions,omitempty"`
}

// PartitionSummary is a partition's summary by its owner.
type PartitionSummary struct {
	Epoch   int64           `json:"epoch"`
	Free    model.Resources `json:"free"`
	Waiting int             `json:"waiting"` // tasks
}

// View gives the members this VM knows, itself included. Safe for concurrent use.
type View interface {
	Self() Member
	Members() []Member
}
