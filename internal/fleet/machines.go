package fleet

import (
	"context"

	"filbertcross/internal/model"
)

// MachineState is what the platform does with a VM that workers run on.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is a VM on which workers live one after the other.
type Machine struct {
	Name   string
	Pool   string
	State  MachineState
	Worker model.WorkerID // empty: none at the moment
}

// Authority is the fencing token with which one holder orders changes of machines.
type Authority struct {
	Holder string
	Token  int64
}

// Machines changes the platform's machines. Errors are *CallError. Safe for concurrent use.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, by Authority, machine, pool string) error
	Maintain(ctx context.Context, by Authority, machine string, wave int64) error
}

// Wave is an operator's request to maintain machines.
type Wave struct {
	Number      int64
	Machines    []string
	Term        int64 // seconds until all have to be done
	MaxParallel int
}
