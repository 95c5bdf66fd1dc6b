package dispatch

import (
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Command is an action for the caller of Decide. The caller passes the response to the
// Dispatcher method named at each type.
type Command interface{ command() }

// RenewCommand renews the lease of a worker's runs and requests a report. Its response goes
// to HandleReport, a failure to HandleRenewFailure or, with StatusOnly, to
// HandleStatusQueryFailure.
type RenewCommand struct {
	To         fleet.Target
	Renew      fleet.RenewRequest
	StatusOnly bool // an additional status query while a long poll is in flight; does not extend the lease
}

// StartCommand starts a run; its response goes to HandleStartResponse.
type StartCommand struct {
	To    fleet.Target
	Start fleet.StartRequest
	// SuspendedUntil is set if it was decided without authority: when the owner must no longer send
	// it. Otherwise it may be sent only while the owner's lease is held.
	SuspendedUntil time.Duration
}

// StopCommand stops a run; its response goes to HandleStopResponse.
type StopCommand struct {
	To    fleet.Target
	Run   fleet.RunID
	Fence int64
}

// PaceCommand limits the CPU time of a run; its response goes to HandlePaceResponse.
type PaceCommand struct {
	To   fleet.Target
	Pace fleet.PaceRequest
}

// AdviseCommand requests placement advice for a step; its response goes to HandleAdvice.
type AdviseCommand struct {
	Step    fleet.StepID
	Workers []model.WorkerID
}

// MaintainCommand takes a machine down for maintenance; its response goes to
// HandleMaintenanceResponse.
type MaintainCommand struct{ Request fleet.MaintenanceRequest }

func (RenewCommand) command()    {}
func (StartCommand) command()    {}
func (StopCommand) command()     {}
func (PaceCommand) command()     {}
func (AdviseCommand) command()   {}
func (MaintainCommand) command() {}
