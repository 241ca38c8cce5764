// Package cli implements the command line of hornbeamwell: the commands that run the
// processes of the system, those of operators, and those that test and measure the
// system. Each command has a file of its own.
//
// The commands of operators run on the goroutine that calls [Run]. Each of the commands
// serve, demo, soak, target, load and measure does its work on a goroutine of its own
// and stops on SIGTERM or SIGINT.
package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"
)

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	return reportError(stderr, root.String(flagFormat), err)
}

func newRoot(stdout, stderr io.Writer) *urfave.Command {
	return prepare(&urfave.Command{
		Name:           "hornbeamwell",
		Usage:          "bring configurations into force on every proxy and move traffic between versions",
		Description:    exitCodesHelp,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *urfave.Command, error) {},
		Flags:          globalFlags(),
		Commands:       commands(),
		Suggest:        true,
		HideVersion:    true,
		Action:         unknownCommand,
	})
}

func commands() []*urfave.Command {
	return []*urfave.Command{
		serveCommand(),
		demoCommand(),
		soakCommand(),
		checkCommand(),
		reviewCommand(),
		applyCommand(),
		changeCommand(),
		getCommand(),
		moveCommand(),
		statusCommand(),
		proxiesCommand(),
		targetsCommand(),
		memberCommand(),
		evacuateCommand(),
		ledgerCommand(),
		versionCommand(),
		targetCommand(),
		loadCommand(),
		measureCommand(),
	}
}

// prepare sets the default action of a command and its subcommands, and their error
// handling unless they have their own.
func prepare(cmd *urfave.Command) *urfave.Command {
	if cmd.OnUsageError == nil {
		cmd.OnUsageError = func(_ context.Context, _ *urfave.Command, err error, _ bool) error {
			return &UsageError{Problem: err.Error()}
		}
	}
	if cmd.Action == nil {
		cmd.Action = unknownCommand
	}
	for _, child := range cmd.Commands {
		prepare(child)
	}
	return cmd
}

// unknownCommand is the action of commands that only have subcommands.
func unknownCommand(_ context.Context, cmd *urfave.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Problem: fmt.Sprintf("no command %q; see %s --help", cmd.Args().First(), cmd.FullName())}
	}
	return urfave.ShowSubcommandHelp(cmd)
}

// argument returns the argument of a command that takes exactly one.
func argument(cmd *urfave.Command, name string) (string, error) {
	values, err := arguments(cmd, name)
	if err != nil {
		return "", err
	}
	return values[0], nil
}

// arguments returns the arguments of a command, which must be as many as the names.
func arguments(cmd *urfave.Command, names ...string) ([]string, error) {
	values := cmd.Args().Slice()
	if len(values) < len(names) {
		return nil, &UsageError{Problem: fmt.Sprintf("%s needs %s; see %s --help", cmd.FullName(), names[len(values)], cmd.FullName())}
	}
	if len(values) > len(names) {
		return nil, &UsageError{Problem: fmt.Sprintf("%s does not take %q; see %s --help", cmd.FullName(), values[len(names)], cmd.FullName())}
	}
	return values, nil
}
