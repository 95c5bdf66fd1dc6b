package dispatch

import (
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Command is what the host has to do; each gets its answer through the method named.
type Command interface{ command() }

// RenewCommand is answered by Report or HoldFailed.
type RenewCommand struct {
	To         fleet.Target
	Renew      fleet.RenewRequest
	StatusOnly bool // a question beside the long poll that is out
}

// StartCommand is answered by Started.
type StartCommand struct {
	To    fleet.Target
	Start fleet.StartRequest
}

// StopCommand is answered by Stopped.
type StopCommand struct {
	To    fleet.Target
	Run   fleet.RunID
	Fence int64
}

// PaceCommand is answered by Paced.
type PaceCommand struct {
	To   fleet.Target
	Pace fleet.PaceRequest
}

// AdviseCommand is answered by Advised.
type AdviseCommand struct {
	Step    fleet.StepID
	Workers []model.WorkerID
}

// MaintainCommand is answered by Maintained.
type MaintainCommand struct{ Request fleet.MaintenanceRequest }

func (RenewCommand) command()    {}
func (StartCommand) command()    {}
func (StopCommand) command()     {}
func (PaceCommand) command()     {}
func (AdviseCommand) command()   {}
func (MaintainCommand) command() {}
