// Package server runs one entry VM: it wires the parts together, hosts the
// partitions that this VM owns and serves callers, operators and other VMs.
//
// One goroutine, the control loop, owns all partitions' state. Traffic, calls to
// the store and calls to workers run on others and reach it by messages.
package server
