package partition

import (
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// Token matches a command with the input that answers it.
type Token int64

// Command is an action that an Owner requests from its host. The host carries out commands
// on other goroutines and passes each result to the Owner method that the command's type
// documents.
type Command interface{ command() }

// Append requests Log.Append; answered by Owner.Appended. At most one is in flight.
type Append struct {
	Token   Token
	Records [][]byte
}

// ConfirmOwnership requests Log.ConfirmOwnership; answered by Owner.HorizonExtended,
// Owner.OwnershipUnconfirmed or Owner.EndEpoch.
type ConfirmOwnership struct{}

// ClearPriorLead requests Log.ClearPriorLead; it needs no answer, even if it fails.
type ClearPriorLead struct{}

// TakeSnapshot requests Log.Snapshot; answered by Owner.SnapshotTaken.
type TakeSnapshot struct {
	Data    []byte
	Through int64 // log position that the data covers
}

// PollWorker requests Worker.Report; answered by Owner.WorkerReported.
type PollWorker struct {
	Worker model.WorkerID
}

// StartTask requests Worker.Start; answered by Owner.StartReturned. The host calls
// Worker.Start at most once, without retries at lower layers.
type StartTask struct {
	Worker model.WorkerID
	Start  platform.StartRequest
}

// RenewLeases requests Worker.Renew; answered by Owner.CallReturned.
type RenewLeases struct {
	Worker  model.WorkerID
	Renewal platform.LeaseRenewal
}

// CheckpointTask requests Worker.Checkpoint; answered by Owner.CheckpointReturned.
type CheckpointTask struct {
	Worker model.WorkerID
	Ref    platform.TaskRef
}

// StopTask requests Worker.Stop; answered by Owner.StopReturned.
type StopTask struct {
	Worker model.WorkerID
	Ref    platform.TaskRef
}

// ThrottleTask requests Worker.Throttle; answered by Owner.CallReturned.
type ThrottleTask struct {
	Worker model.WorkerID
	Ref    platform.TaskRef
	Limit  model.Resources
}

// ForgetAttempts requests Worker.Forget; answered by Owner.CallReturned.
type ForgetAttempts struct {
	Worker model.WorkerID
	Refs   []platform.TaskRef
}

// Reply answers Owner.Submit, Owner.Cancel or Owner.ReceiveHandover.
type Reply struct {
	Token  Token
	Job    model.JobID
	Status schedule.Status // if Err is nil: whether and why the job was rejected
	Err    error           // see Owner.Submit
}

// FindHandoverTarget requests another partition with free capacity for a job; answered by
// Owner.HandoverTargetFound.
type FindHandoverTarget struct {
	Job     model.JobID
	Size    model.Resources // size of one task
	Exclude []model.PartitionID
}

// HandOverJob requests Owner.ReceiveHandover at the owner of To; answered by
// Owner.HandoverReturned.
type HandOverJob struct {
	To  model.PartitionID
	Job HandedOverJob
}

// QueryJobEnded requests whether a job that was handed over has ended. If it has, answered
// by Owner.HandedOverJobEnded.
type QueryJobEnded struct {
	Job model.JobID
	At  model.PartitionID // partition that the job was handed over to
}

func (QueryJobEnded) command()      {}
func (FindHandoverTarget) command() {}
func (HandOverJob) command()        {}
func (Append) command()             {}
func (ConfirmOwnership) command()   {}
func (ClearPriorLead) command()     {}
func (TakeSnapshot) command()       {}
func (PollWorker) command()         {}
func (StartTask) command()          {}
func (RenewLeases) command()        {}
func (CheckpointTask) command()     {}
func (StopTask) command()           {}
func (ThrottleTask) command()       {}
func (ForgetAttempts) command()     {}
func (Reply) command()              {}
func (Notice) command()             {}
