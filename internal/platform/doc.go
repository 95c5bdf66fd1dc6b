// Package platform describes the systems outside filbertcross through narrow
// interfaces: the key-value store, the list of VMs and the workers. One adapter
// each speaks their HTTP protocols, in files named after the interface.
package platform
