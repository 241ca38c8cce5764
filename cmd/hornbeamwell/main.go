// Command hornbeamwell runs the processes of the configuration distribution system
// and the commands of its operators.
package main

import (
	"context"
	"os"

	"github.com/hornbeamwell/hornbeamwell/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
