package partition

import (
	"strconv"
	"strings"
	"time"

	"filbertcross/internal/model"
)

// logRecord is one record of a worker partition's log. Exactly one field is set.
type logRecord struct {
	Submitted        *jobSubmitted   `cbor:"1,keyasint,omitempty"`
	Canceled         *jobCanceled    `cbor:"2,keyasint,omitempty"`
	Placed           *taskPlaced     `cbor:"3,keyasint,omitempty"`
	Ended            *taskEnded      `cbor:"4,keyasint,omitempty"`
	Handover         *handoverRecord `cbor:"5,keyasint,omitempty"`
	HandoverReceived *jobState       `cbor:"6,keyasint,omitempty"`
}

// jobSubmitted records the acceptance of a job.
type jobSubmitted struct {
	Job model.Job `cbor:"1,keyasint"`
}

type jobCanceled struct {
	Job model.JobID `cbor:"1,keyasint"`
	At  time.Time   `cbor:"2,keyasint"`
}

// taskPlaced records a placement. It precedes every start of a task in the log.
type taskPlaced struct {
	Task    model.TaskID    `cbor:"1,keyasint"`
	Attempt int64           `cbor:"2,keyasint"`
	Worker  model.WorkerID  `cbor:"3,keyasint"`
	Boot    string          `cbor:"4,keyasint"` // the only boot of the worker on which the task may start
	Size    model.Resources `cbor:"5,keyasint"`
	Epoch   int64           `cbor:"6,keyasint"`
}

// taskEnded records that an attempt is not running and will never run again.
type taskEnded struct {
	Task       model.TaskID  `cbor:"1,keyasint"`
	Attempt    int64         `cbor:"2,keyasint"`
	Outcome    model.Outcome `cbor:"3,keyasint"`
	Final      bool          `cbor:"4,keyasint"` // the task is not placed again
	Checkpoint string        `cbor:"5,keyasint"` // newest checkpoint, if any
	At         time.Time     `cbor:"6,keyasint"`
}

// taskID returns the id of a job's task.
func taskID(job model.JobID, index int) model.TaskID {
	return model.TaskID(string(job) + "/" + strconv.Itoa(index))
}

// splitTask returns the job id and the index contained in a task's id.
func splitTask(id model.TaskID) (model.JobID, int, bool) {
	i := strings.LastIndex(string(id), "/")
	if i < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(string(id[i+1:]))
	return model.JobID(id[:i]), index, err == nil
}
