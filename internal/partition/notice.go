package partition

import (
	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// NoticeKind is the kind of a Notice.
type NoticeKind int

// Kinds of notices.
const (
	NoticePlaced NoticeKind = iota
	NoticeStarted
	NoticeEnded
	NoticePreempted
	NoticeUnexpectedTask // a worker runs a task that the log does not grant
	NoticeWorkerRemoved  // a worker is no longer in the platform's list
	NoticeWorkerRestarted
	NoticeRecovered // all attempts of earlier epochs are adopted or ended
	NoticeOwnershipLost
	NoticeInvariantViolated
)

// Notice informs operators of what the owner did. Fields that do not apply are empty.
type Notice struct {
	Kind        NoticeKind
	Partition   model.PartitionID
	Epoch       int64
	Job         model.JobID
	Task        model.TaskID
	Attempt     int64
	Worker      model.WorkerID
	Branch      model.BranchID
	Beneficiary model.BranchID // of a preemption
	Outcome     model.Outcome  // of NoticeEnded
	Reason      string
}

// Record records the notice as an event of this process.
func (n Notice) Record(r event.Recorder) {
	switch n.Kind {
	case NoticePlaced:
		r.Record(event.TaskPlaced, n.Partition, n.Epoch, n.Task, n.Attempt, n.Worker)
	case NoticeStarted:
		r.Record(event.TaskStarted, n.Partition, n.Epoch, n.Task, n.Attempt, n.Worker)
	case NoticeEnded:
		r.Record(event.TaskTerminated, n.Partition, n.Epoch, n.Task, n.Attempt, n.Worker, n.Outcome, n.Reason)
	case NoticePreempted:
		r.Record(event.TaskPreempted, n.Partition, n.Task, n.Worker, n.Branch, n.Beneficiary, n.Reason)
	case NoticeUnexpectedTask:
		r.Record(event.UnexpectedTask, n.Partition, n.Epoch, n.Task, n.Attempt, n.Worker)
	case NoticeWorkerRemoved:
		r.Record(event.WorkerRemoved, n.Partition, n.Worker)
	case NoticeWorkerRestarted:
		r.Record(event.WorkerRestarted, n.Partition, n.Worker)
	case NoticeRecovered:
		r.Record(event.PartitionRecovered, n.Partition, n.Epoch)
	case NoticeOwnershipLost:
		r.Record(event.PartitionOwnershipLost, n.Partition, n.Epoch, n.Reason)
	case NoticeInvariantViolated:
		r.Record(event.InvariantViolated, n.Partition, n.Epoch, n.Task, n.Worker, n.Reason)
	}
}
