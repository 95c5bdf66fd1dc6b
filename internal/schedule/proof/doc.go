// Package proof checks the decisions of schedule.Decider implementations. Oracle wraps a
// Decider and checks each decision against its own record of capacities, placements, task
// counts and quotas. The command cases compares Deciders under load, the command slopes
// measures the costs of the scheduler.
package proof
