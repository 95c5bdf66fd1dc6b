// Package model holds the typed messages shared by the other packages:
// branches, workloads, jobs, tasks and resource amounts. It has no behaviour
// beyond arithmetic and validation and does no I/O.
package model
