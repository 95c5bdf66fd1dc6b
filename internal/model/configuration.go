package model

// Configuration is the content of an accepted sheet. It is immutable.
type Configuration struct {
	Revision  int64      `json:"revision" cbor:"1,keyasint"` // increases by one with every accepted change, from 1
	Branches  []Branch   `json:"branches" cbor:"2,keyasint"`
	Workloads []Workload `json:"workloads" cbor:"3,keyasint"`
}

// ConfigurationSource provides the active configuration of this VM. Safe for concurrent use.
type ConfigurationSource interface {
	// Active returns the active configuration, or nil while the VM has none.
	Active() *Configuration
}

// Branch returns the branch with the id.
func (c *Configuration) Branch(id BranchID) (Branch, bool) {
	for _, b := range c.Branches {
		if b.ID == id {
			return b, true
		}
	}
	return Branch{}, false
}

// Workload returns the workload of the branch with the id.
func (c *Configuration) Workload(branch BranchID, id WorkloadID) (Workload, bool) {
	for _, w := range c.Workloads {
		if w.Branch == branch && w.ID == id {
			return w, true
		}
	}
	return Workload{}, false
}
