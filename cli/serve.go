package cli

import (
	"context"
	"fmt"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/instance"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

const flagFirstStart = "first-start"

func serveCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "serve",
		Usage: "run one process of the system until SIGTERM",
		Description: "The settings say whether the process is a control instance, a relay or a proxy alone. SIGTERM\n" +
			"stops it gracefully: its target leaves, calls in flight finish, then it ends with exit code 0.",
		Flags: []urfave.Flag{
			settingsFlag(),
			&urfave.BoolFlag{Name: flagFirstStart, Usage: "no process ran under this id before, so no call with an idempotency key was forgotten"},
		},
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			path := cmd.String(flagSettings)
			s, err := settings.Load(path)
			if err != nil {
				return fmt.Errorf("%s:\n%w", path, err)
			}
			instance.TuneMemory(s.MemoryBytes)
			options := []instance.Option{instance.WithLogger(newLogger(cmd))}
			if cmd.Bool(flagFirstStart) {
				options = append(options, instance.WithFirstStart())
			}
			process, err := instance.New(s, options...)
			if err != nil {
				return fmt.Errorf("start %s: %w", s.Instance, err)
			}
			return runUntilSignal(ctx, process.Run)
		},
	}
}
