// Package cluster starts stand-ins and VMs as processes on loopback, loads them and
// compares what callers were told with the stand-ins' own account. The demo and
// the long randomised runs share it.
package cluster
