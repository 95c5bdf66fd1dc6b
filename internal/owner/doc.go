// Package owner hosts the decision of internal/dispatch on the one VM that has the
// authority to decide: it holds that authority in the store, loads what lasts, feeds
// reports and answers to the dispatcher, carries out its commands, and writes progress
// in groups under the condition that the authority still stands.
package owner
