// Package admission limits the submissions that a client account hands in beyond its rate, over all
// entry VMs together, while earlier ones wait too long.
//
// Every VM has a Gate, which counts the submissions that arrive and decides about each without
// a call to another VM. The owner has a Divider. VMs report their counts in their polls of the owner.
// The owner knows which streams, the submissions of an account to a queue, have a backlog behind
// which new ones would have no value any more, and its answers give each VM its part of the limit
// of such a stream. A Gate that has had no answer for MaxAge limits nothing: the order of placement
// still protects the other accounts. The types use the times that they are given and do no I/O.
package admission
