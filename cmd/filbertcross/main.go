// Command filbertcross is the cluster scheduler: the server of an entry VM and
// the operators' commands.
package main

func main() {}
