// Package schedule decides which task runs on which worker. Callers pass in events, the
// current time and a random source, and receive decisions. The package does no I/O, reads
// no clock and starts no goroutine.
package schedule
