// Package peer is the inner protocol between VMs: jsonrpc2 over TCP, with typed
// messages and errors that carry a verdict.
package peer
