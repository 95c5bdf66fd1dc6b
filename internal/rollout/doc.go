// Package rollout accepts sheets with one compare-and-swap in the platform's store and
// activates each accepted sheet as the configuration of every VM. A VM learns of new
// revisions from one long-polling watch of the store and from other VMs, so that it
// receives them also while it cannot reach the store. The active revision of a process
// never decreases.
package rollout
