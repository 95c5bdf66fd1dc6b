// Package api defines the requests, responses and headers of the public HTTP API, which the
// server and the command line share, and an HTTP client for it.
package api
