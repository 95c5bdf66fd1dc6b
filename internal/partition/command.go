package partition

import (
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

// Token pairs a command with the input that answers it.
type Token int64

// Command is what an Owner asks its host to do. The host carries commands out on
// other goroutines and brings each result back as the input its type names.
type Command interface{ command() }

// Append asks for Log.Append; answered by Owner.Appended. At most one is out.
type Append struct {
	Token   Token
	Records [][]byte
}

// ConfirmOwnership asks for Log.Confirm; answered by Owner.HorizonMoved,
// Owner.ConfirmFailed or Owner.Depose.
type ConfirmOwnership struct{}

// ClearPriorLead asks for Log.Settle; its failure needs no answer.
type ClearPriorLead struct{}

// TakeSnapshot asks for Log.Snapshot; answered by Owner.SnapshotTaken.
type TakeSnapshot struct {
	Data    []byte
	Through int64 // position of the log that the data covers
}

// PollWorker asks for Worker.Report; answered by Owner.Reported.
type PollWorker struct {
	Worker model.WorkerID
}

// StartTask asks for Worker.Start; answered by Owner.StartReturned. It must be
// called at most once, without retries below.
type StartTask struct {
	Worker model.WorkerID
	Start  platform.Start
}

// RenewLeases asks for Worker.Renew; answered by Owner.CallReturned.
type RenewLeases struct {
	Worker  model.WorkerID
	Renewal platform.Renewal
}

// CheckpointTask asks for Worker.Checkpoint; answered by Owner.CheckpointReturned.
type CheckpointTask struct {
	Worker model.WorkerID
	Ref    platform.TaskRef
}

// StopTask asks for Worker.Stop; answered by Owner.StopReturned.
type StopTask struct {
	Worker model.WorkerID
	Ref    platform.TaskRef
}

// ThrottleTask asks for Worker.Throttle; answered by Owner.CallReturned.
type ThrottleTask struct {
	Worker model.WorkerID
	Ref    platform.TaskRef
	Limit  model.Resources
}

// ForgetAttempts asks for Worker.Forget; answered by Owner.CallReturned.
type ForgetAttempts struct {
	Worker model.WorkerID
	Refs   []platform.TaskRef
}

// Reply answers Owner.Submit or Owner.Cancel.
type Reply struct {
	Token  Token
	Job    model.JobID
	Status schedule.Status // why a submission was refused, when Err is nil
	Err    error           // see Owner.Submit
}

// FindHandoverTarget asks for another partition with room for a job; answered by
// Owner.TargetFound.
type FindHandoverTarget struct {
	Job     model.JobID
	Size    model.Resources // of one task
	Exclude []model.PartitionID
}

// HandOverJob asks for Owner.HandOverJob at the owner of To; answered by Owner.HandInReturned.
type HandOverJob struct {
	To  model.PartitionID
	Job HandedOverJob
}

// QueryJobEnded asks whether a job that was handed over has ended; if so, answered by
// Owner.HandedJobEnded.
type QueryJobEnded struct {
	Job model.JobID
	At  model.PartitionID
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
