// Package api holds the messages of the HTTP interface for callers and
// operators, shared by the server and the command line, and a client for them.
package api
