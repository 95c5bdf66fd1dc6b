// Package entry answers callers: it takes submissions and cancellations, which are stored
// before they are confirmed, and tells the state of submissions and the length of queues.
package entry
