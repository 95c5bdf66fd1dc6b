// Package command implements the command line: the commands that run a VM, and the commands
// for operators, which call the HTTP API of any VM.
package command
