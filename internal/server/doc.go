// Package server runs one entry VM: it wires the components together, hosts the
// partitions that this VM owns and serves clients, operators and other VMs.
//
// One goroutine, the control loop, owns the state of the worker partitions. Client
// requests, store calls and worker calls run on other goroutines and send it messages.
package server
