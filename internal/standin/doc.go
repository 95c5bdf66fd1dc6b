// Package standin implements simulated versions of the systems that filbertcross
// depends on: the platform's key-value store and VM list, workers and backend
// servers. Only tests, the demo and the measurement commands use it; production
// code must not import it.
package standin
