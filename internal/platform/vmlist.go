package platform

import (
	"context"

	"filbertcross/internal/model"
)

// Role is the role of a VM in the platform's list.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleWorker  Role = "worker"
	RoleBackend Role = "backend"
)

// VM is an entry of the platform's list. The list lags behind: a VM may stop before it
// is removed from the list, and may run before it is listed.
type VM struct {
	ID            string              `json:"id"`
	Role          Role                `json:"role"`
	Address       string              `json:"address"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	Rack          string              `json:"rack"`
	Service       string              `json:"service,omitempty"`     // of a backend server
	Slots         int                 `json:"slots,omitempty"`       // of a backend server
	Connections   int                 `json:"connections,omitempty"` // of a backend server
	Capacity      model.Resources     `json:"capacity,omitzero"`     // of a worker
	Leaving       bool                `json:"leaving"`
}

// VMList is the platform's list of running and leaving VMs.
type VMList interface {
	// List returns all listed VMs.
	List(ctx context.Context) ([]VM, error)
}
