// Package partition implements ownership of partitions, both those of workers and
// those of idempotency keys: their assignment to VMs, the epoch that fences previous
// owners, the write-ahead log in the platform's store, task leases, and recovery.
//
// The horizon of an epoch is the time that no lease granted under it outlasts. Each
// confirmation of ownership in the store moves the horizon to one lead after the
// confirmation was sent. A new owner counts an attempt of an earlier epoch as running until
// a worker's report or the expiry of its lease proves that it is not.
//
// Log does I/O on the store and is safe for concurrent use. Owner is the state
// machine of a worker partition: it takes typed inputs and returns commands, reads no
// clock and starts no goroutine. Only one goroutine at a time may call it.
package partition
