// Package fleet holds the types and the interfaces through which filbertcross
// sees the machines it runs on: submissions, workers, the configuration and the
// metadata store. The adapter in platform/ translates the wire into them; the
// decision (internal/dispatch) and its host (internal/owner) know only them.
package fleet
