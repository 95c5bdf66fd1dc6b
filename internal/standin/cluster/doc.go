// Package cluster starts stand-ins and VMs as processes on loopback, generates load,
// and compares the responses that callers received with the stand-ins' own records.
// The demo, prove and measure commands use it.
package cluster
