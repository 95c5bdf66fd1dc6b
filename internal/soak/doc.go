// Package soak runs the real programs as separate processes on loopback against the
// stand-in platform, injects faults from outside (signals, a proxy before the store and
// before each executor, a store and executors that misbehave) and checks the platform's
// rules from what callers, executors and the store see. Faults, their times and the load
// follow the seed; the processes' interleaving does not.
package soak
