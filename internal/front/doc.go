// Package front is the HTTP entry point for callers. It reads a complete request,
// acquires a slot of a backend server, forwards the request and returns the
// complete response together with a verdict: whether the request may have run.
package front
