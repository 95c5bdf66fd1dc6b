package platform

import (
	"context"

	"filbertcross/internal/model"
)

// Role is what a VM in the platform's list is for.
type Role string

// The roles of the platform's list.
const (
	RoleEntry   Role = "entry"
	RoleWorker  Role = "worker"
	RoleBackend Role = "backend"
)

// VM is one row of the platform's list. The list lags: a VM may be gone before
// it is missing from the list and live before it is listed.
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

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}
