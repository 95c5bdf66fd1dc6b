// Package dispatch decides which task of a submission runs on which worker.
//
// It is a deterministic state machine: reports and responses go in, commands come out,
// and the caller passes the current time. It does no I/O and starts no goroutines. A
// Dispatcher must not be used by more than one goroutine at a time.
//
// A task is processed as follows. AddJob queues it. Decide requests placement advice if
// the queue requires it, selects a worker (placement.go), reserves capacity there and emits a
// StartCommand. While a gang or a wide task does not fit, workers are reserved for it
// (reservation.go). HandleStartResponse or HandleReport confirms the run or discards it. The
// result in a later report frees the capacity. NextBatch and HandleBatchResult make the
// job's progress durable before the result is acknowledged to the worker.
//
// A decision must not cost more the more is waiting: free_index.go, failed_demand.go and the holders
// of tickets (advice.go) keep it from examining all workers for each step, as
// docs/design/decision-cost.md describes.
//
// A task gets a new run only when no earlier run of it can still be running, which is
// proved by one of the following: the worker reported the run's result; the worker no
// longer lists the run; a report requested after a confirmed stop does not list the run;
// the worker has a new incarnation; the worker's lease has expired.
package dispatch
