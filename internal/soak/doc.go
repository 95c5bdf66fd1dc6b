// Package soak runs the real binaries as separate processes on loopback against the stand-in
// platform, injects faults from outside (signals, proxies in front of the store and of each
// worker, faults of the stand-in store and workers) and checks the platform's rules from what
// callers, workers and the store observe. The seed determines the faults, their times and the
// load, but not the interleaving of the processes.
package soak
