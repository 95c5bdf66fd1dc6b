// Package membership tracks which entry VMs are alive, based on heartbeats between
// them and on the platform's VM list. Heartbeats also carry each VM's digest, a
// summary of its load and of the partitions it owns, to the other VMs.
package membership
