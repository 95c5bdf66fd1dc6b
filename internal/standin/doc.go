// Package standin holds small stand-ins for the systems around filbertcross:
// the platform's key-value store and list of VMs, workers and backend servers.
// Only the demo and the tests start them; the product never imports this package.
package standin
