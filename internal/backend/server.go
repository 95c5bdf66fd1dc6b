package backend

import (
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// ServerID names a backend server as the platform's list does.
type ServerID string

// Server is a backend server as this VM knows it.
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
