// Package backend shares the slots of the backend servers among the entry VMs.
//
// Each backend server's slots are owned by one VM. A request takes a slot of its
// own VM, or waits in that VM's fair queue while the VM borrows permits from
// other owners. The queue, the slot table, the ejector and the estimators are
// pure: they do no I/O and read no clock.
package backend
