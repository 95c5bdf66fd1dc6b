// Package linearize records the calls that clients make to a platform.Store and checks
// that they are linearizable, also if responses were lost. It is used by tests.
package linearize
