// Package proof checks schedule.Decider implementations from outside. Oracle wraps a
// Decider and holds each decision against a record that knows only capacities, placements,
// task counts and quotas. The package cases compares Deciders under load.
package proof
