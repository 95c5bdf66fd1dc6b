// Package event keeps the catalogue of numbered events, records them with
// hybrid-logical-clock stamps in a bounded ring, and merges the rings of all VMs
// into one time line.
package event
