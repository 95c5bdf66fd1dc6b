// Package model defines the data types shared by the other packages: branches,
// workloads, jobs, identifiers and resource amounts. It has no behaviour beyond
// lookups and arithmetic and does no I/O.
package model
