package backend

import (
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// ServerID identifies a backend server. It is the id in the platform's VM list.
type ServerID string

// Server describes a backend server. Responses to peers carry it with these
// field names.
type Server struct {
	ID            ServerID
	Service       string
	Address       string // host:port
	FailureDomain model.FailureDomain
	Slots         int
	Connections   int
}

func serverFromVM(vm platform.VM) Server {
	return Server{
		ID:            ServerID(vm.ID),
		Service:       vm.Service,
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Slots:         vm.Slots,
		Connections:   vm.Connections,
	}
}
