// Package dispatch decides which task of a submission runs on which worker. It is
// pure: reports and answers in, commands out, the clock passed in. It does no I/O
// and starts no goroutine; a Dispatcher is used by one goroutine at a time.
//
// The path of a task: AddJob queues it; Decide asks for advice where the queue needs
// it, chooses a worker (place.go) and assumes the run there; Started or Report confirms
// it, or ends the assumption; an end in a Report frees the room; the job's progress
// becomes durable through Batch and Committed before the end is acknowledged.
//
// A task gets a new run only when no earlier run of it can still be running. The proofs
// are: its end was listed, its worker lists it no more, a stop of it was answered and
// the stop timeout has passed, its worker has another incarnation, or the worker's
// lease has run out.
package dispatch
