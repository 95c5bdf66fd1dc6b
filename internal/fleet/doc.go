// Package fleet defines the types and interfaces between the scheduler and the
// platform it runs on: submissions, workers, machines, the configuration and the
// metadata store. Package platform translates wire formats to and from these types;
// the dispatcher (internal/dispatch) and the owner that runs it (internal/owner)
// depend on them only.
package fleet
