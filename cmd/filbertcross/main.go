// Command filbertcross is the cluster scheduler: the server of an entry VM, and
// the commands for operators.
package main

import (
	"context"
	"fmt"
	"os"

	"filbertcross/internal/command"
)

func main() {
	err := command.New(os.Stdout).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "filbertcross:", err)
	}
	os.Exit(command.ExitCode(err))
}
