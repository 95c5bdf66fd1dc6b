// Package ingress bounds what the clients of an HTTP listener cost a process: memory, connections and
// time. A Guard wraps the listener and the handler of one http.Server.
//
// Each connection holds a share of the guard's memory for itself, for the head of its request, for the
// body that it has sent, and for what the body is decoded to. A share is reserved before the memory is
// used. If the memory or the connections are used up, the connections that have held most for longest
// give way, except those whose request has arrived completely. So clients that never end a request
// cannot lock out others, and without pressure no connection is closed.
package ingress
