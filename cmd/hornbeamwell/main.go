// Command hornbeamwell runs the configuration distribution system and its
// operators' commands.
package main

import (
	"context"
	"os"

	"github.com/hornbeamwell/hornbeamwell/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
