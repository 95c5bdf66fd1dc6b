package fleet

import (
	"context"
	"time"
)

// MachineID names the hardware that a worker runs on. It outlives the worker: a machine that
// was maintained comes back with another one.
type MachineID string

// MaintenanceWave is the operators' request that machines be maintained.
type MaintenanceWave struct {
	Number      int64
	Machines    []MachineID
	StartWithin time.Duration // from the request until the last machine's maintenance has begun
	MaxParallel int           // machines that may be down for it at once
}

// WaveState is what operators are told of a wave.
type WaveState int

// States of a wave.
const (
	WaveRunning   WaveState = iota
	WaveCompleted           // each machine that is still there has been maintained
)

// MaintenanceRequest is the order to take a machine down now. Everything on it ends at once.
type MaintenanceRequest struct {
	Machine MachineID
	Wave    int64
	Fence   int64 // a machine that has seen a higher one refuses
}

// MachineClient is the control plane of the hardware. Errors are *CallError.
type MachineClient interface {
	// StartMaintenance begins a maintenance; one that was done before succeeds again without effect.
	StartMaintenance(ctx context.Context, m MaintenanceRequest) error
}
