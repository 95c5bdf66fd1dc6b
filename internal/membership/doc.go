// Package membership knows which entry VMs are live, from heartbeats between
// them and the platform's list, and carries each VM's digest to the others.
package membership
