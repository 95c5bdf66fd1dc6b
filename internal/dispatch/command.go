package dispatch

import (
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Command is what the host has to do; each gets its answer through the method named.
type Command interface{ command() }

// HoldCommand is answered by Report or HoldFailed.
type HoldCommand struct {
	To   fleet.Target
	Hold fleet.RenewRequest
	Look bool // a question beside the long poll that is out
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
type MaintainCommand struct{ Order fleet.MaintenanceRequest }

func (HoldCommand) command()     {}
func (StartCommand) command()    {}
func (StopCommand) command()     {}
func (PaceCommand) command()     {}
func (AdviseCommand) command()   {}
func (MaintainCommand) command() {}
