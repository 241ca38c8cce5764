package cli

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/instance"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

const flagFirstStart = "first-start"

const (
	// collectPercent lets the heap grow to five times what is live before a
	// collection. A proxy holds little and makes garbage with each call.
	collectPercent = 400
	// softMemoryBytes is the size from which collections come sooner, so that
	// a process stays within the 256 MB of a node.
	softMemoryBytes = 224 << 20
)

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
			tuneMemory()
			path := cmd.String(flagSettings)
			s, err := settings.Load(path)
			if err != nil {
				return fmt.Errorf("%s:\n%w", path, err)
			}
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

// tuneMemory sets when garbage is collected, unless the environment says so.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryBytes)
	}
}
