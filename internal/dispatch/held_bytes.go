package dispatch

import (
	"unsafe"

	"filbertcross/internal/fleet"
)

// Memory in bytes that parts of a submission take, with the pointers to them.
const (
	jobBytes  = int64(unsafe.Sizeof(job{})+unsafe.Sizeof(fleet.Submission{})+unsafe.Sizeof(occurrence{})) + mapEntryBytes
	stepBytes = int64(unsafe.Sizeof(step{})+unsafe.Sizeof(fleet.Step{})) + 2*pointerBytes
	taskBytes = int64(unsafe.Sizeof(task{})) + pointerBytes

	pointerBytes  = 8
	mapEntryBytes = 64
)

// SubmissionBytes returns about how many bytes a dispatcher holds of a submission whose first occurrence
// is created, without what belongs to runs. The tasks of large occurrences are left out: they have a bound
// of their own, see maxHeldTasksOfAll.
func SubmissionBytes(sub *fleet.Submission) int64 { return definitionBytes(sub) + occurrenceBytes(sub) }

// definitionBytes returns the part that does not depend on the occurrences that are held.
func definitionBytes(sub *fleet.Submission) int64 {
	n := jobBytes + int64(len(sub.Spec))
	for i := range sub.Steps {
		s := &sub.Steps[i]
		n += int64(len(s.RequiredLabel) + len(s.PreferredRack) + len(s.Image) + pointerBytes*len(s.After))
	}
	return n
}

// occurrenceBytes returns the part for each occurrence that is held.
func occurrenceBytes(sub *fleet.Submission) int64 {
	n := stepBytes * int64(len(sub.Steps))
	if tasks := tasksPerOccurrence(sub); tasks <= smallOccurrence {
		n += taskBytes * int64(tasks)
	}
	return n
}

// HeldBytes returns about how many bytes the submissions take.
func (d *Dispatcher) HeldBytes() int64 {
	n := int64(0)
	for _, list := range [][]*job{d.activeJobs, d.finalJobs} {
		for _, j := range list {
			n += j.definitionBytes + j.occurrenceBytes*int64(len(j.occurrences))
		}
	}
	return n
}

// setSubmission sets what is held of the submission itself.
func (j *job) setSubmission(sub *fleet.Submission) {
	j.sub, j.definitionBytes, j.occurrenceBytes = sub, definitionBytes(sub), occurrenceBytes(sub)
}
