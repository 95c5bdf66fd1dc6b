// Package owner runs the dispatcher of internal/dispatch on the one VM that is the elected
// owner. It holds ownership through a leased key in the store, loads the stored state, passes
// reports and responses to the dispatcher, executes its commands, and writes progress in
// batches on condition that the owner key is unchanged.
package owner
