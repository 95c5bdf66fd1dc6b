// Package rollout accepts sheets by one compare-and-swap in the platform's store
// and puts each accepted one in force on every VM. A VM follows the store by one
// waiting watch, and other VMs where the store cannot be reached. The revision in
// force never falls.
package rollout
