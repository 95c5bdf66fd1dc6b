package partition

import "filbertcross/internal/model"

// WorkerStatus is a worker as its partition knows it.
type WorkerStatus struct {
	ID            model.WorkerID
	FailureDomain model.FailureDomain
	Rack          string
	Capacity      model.Resources
	Granted       model.Resources // held by attempts that may be running
	Tasks         int             // attempts that may be running
	State         string          // usable, or why it takes no task
}

// Workers lists the partition's workers by id.
func (o *Owner) Workers() []WorkerStatus {
	var all []WorkerStatus
	for _, w := range o.sortedWorkers() {
		all = append(all, WorkerStatus{
			ID:            w.id,
			FailureDomain: w.domain,
			Rack:          w.rack,
			Capacity:      w.capacity,
			Granted:       w.granted,
			Tasks:         len(w.attempts),
			State:         w.stateName(),
		})
	}
	return all
}

// stateName says why the worker takes no task at the moment.
func (w *worker) stateName() string {
	switch {
	case !w.listed:
		return "unlisted"
	case w.leaving:
		return "leaving"
	case w.silent:
		return "silent"
	case !w.reconciled:
		return "not reconciled"
	default:
		return "usable"
	}
}
