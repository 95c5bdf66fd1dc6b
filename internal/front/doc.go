// Package front answers callers over HTTP: it takes a request whole, gets it a
// slot of a backend server, sends it, and gives the caller the whole answer with
// the verdict whether the request may have run.
package front
