// Package entry serves the callers' HTTP API: it accepts submissions and cancellations, which
// are stored before they are confirmed, and returns the state of submissions and the length of
// queues.
package entry
