// Package peer implements the protocol between VMs: JSON-RPC 2.0 over TCP, with typed
// errors that carry a verdict, and deadlines and timestamps on every call.
package peer
