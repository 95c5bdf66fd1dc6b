// Package partition owns the partitions of the workers and of the idempotency
// keys: which VM wants which partition, the epoch that fences former owners, the
// write-ahead log in the platform's store, task leases, and recovery.
//
// Log does I/O on the store and is safe for concurrent use. Owner is the pure
// core of a worker partition: typed inputs in, commands out, no clock, no
// goroutine; one goroutine at a time drives it.
package partition
