// Package backend allocates the slots of the backend servers to requests on the
// entry VMs.
//
// One VM owns all slots of a backend server. A request gets a slot that its VM
// owns, or waits in the fair queue of its VM while the VM borrows permits from
// other owners. The queue, the slot table, the ejector and the service time
// estimator do no I/O and don't read the clock; callers pass the time.
package backend
