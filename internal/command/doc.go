// Package command is the command line: the server of a VM and the operators'
// commands, which speak to any VM over its HTTP interface.
package command
