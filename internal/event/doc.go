// Package event defines the catalogue of numbered events, records events with
// hybrid-logical-clock stamps in a bounded ring, and merges the rings of all VMs
// into one timeline.
package event
