// Package admission limits, while capacity is short, the submissions that a client account hands in
// beyond its rate, over all entry VMs together.
//
// Every VM has a Gate, which counts the submissions that arrive and decides about each without
// a call to another VM. The owner has a Divider. VMs report their counts in their polls of the owner,
// and its answers give each VM its part of the rate of every account that is limited. A Gate that
// has had no answer for MaxAge limits nothing: the order of placement still protects the other
// accounts. The types use the times that they are given and do no I/O.
package admission
