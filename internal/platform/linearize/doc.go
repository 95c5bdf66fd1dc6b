// Package linearize records the calls that clients make to a platform.Store and checks
// that one order of them explains every answer, also with answers lost. Tests use it.
package linearize
