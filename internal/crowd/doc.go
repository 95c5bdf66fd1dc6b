// Package crowd tests that the process of an entry VM withstands clients that exceed the limits of
// the callers' API. Each test starts the built program on loopback, and a crowd of such clients.
// The tests run alone, as they count the memory of a process: see the Makefile.
package crowd
