// Package platform defines interfaces to the systems outside filbertcross: the
// key-value store, the list of VMs and the workers' agents. For each interface there
// is an HTTP client.
package platform
