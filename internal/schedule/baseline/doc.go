// Package baseline implements simple placement policies to compare the scheduler with:
// first-come first-served with first fit or random fit, and an offline first-fit-decreasing
// packer that knows the actual size of every task. It also has wrappers that disable single
// features of a schedule.Decider.
package baseline
