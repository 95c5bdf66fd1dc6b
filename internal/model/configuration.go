package model

// Configuration is an accepted sheet in force. It is immutable.
type Configuration struct {
	Revision  int64      `json:"revision" cbor:"1,keyasint"` // rises by one with every accepted change; the first is 1
	Branches  []Branch   `json:"branches" cbor:"2,keyasint"`
	Workloads []Workload `json:"workloads" cbor:"3,keyasint"`
}

// ConfigurationSource gives the configuration in force on this VM. Safe for concurrent use.
type ConfigurationSource interface {
	// Active returns nil while the VM has no configuration.
	Active() *Configuration
}

// Branch finds a branch by id.
func (c *Configuration) Branch(id BranchID) (Branch, bool) {
	for _, b := range c.Branches {
		if b.ID == id {
			return b, true
		}
	}
	return Branch{}, false
}

// Workload finds a workload of a branch.
func (c *Configuration) Workload(branch BranchID, id WorkloadID) (Workload, bool) {
	for _, w := range c.Workloads {
		if w.Branch == branch && w.ID == id {
			return w, true
		}
	}
	return Workload{}, false
}
