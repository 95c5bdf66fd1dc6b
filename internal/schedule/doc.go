// Package schedule decides which task runs on which worker. It is pure: state
// and an event in, decisions out, with the clock and the random source passed
// in. It does no I/O and starts no goroutine.
package schedule
