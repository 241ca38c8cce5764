package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/instance"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/soak"
)

const (
	flagFirstStart = "first-start"
	// The flags of the soak make the process's storage and time of day
	// misbehave. They stand in no help text.
	flagStorageFaults = "storage-faults"
	flagTimeOfDay     = "time-of-day"
)

func serveCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "serve",
		Usage: "run one process of the system until SIGTERM",
		Description: "The settings say whether the process is a control instance, a relay or a proxy alone. SIGTERM\n" +
			"stops it gracefully: its target leaves, calls in flight finish, then it ends with exit code 0.\n" +
			"A second SIGTERM and SIGHUP change nothing.",
		Flags: []urfave.Flag{
			settingsFlag(),
			&urfave.BoolFlag{Name: flagFirstStart, Usage: "no process ran under this id before, so no call with an idempotency key was forgotten"},
			&urfave.StringFlag{Name: flagStorageFaults, Hidden: true},
			&urfave.DurationFlag{Name: flagTimeOfDay, Hidden: true},
		},
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			keepSignals()
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
			process, err := instance.New(s, append(options, soakOptions(cmd)...)...)
			if err != nil {
				return fmt.Errorf("start %s: %w", s.Instance, err)
			}
			return runUntilSignal(ctx, process.Run)
		},
	}
}

// keepSignals takes the signals whose default would end the process at once, until
// it has ended: a second request to stop, and a hangup at any time, must not cut the
// calls in flight. The first request to stop comes to the signal handler as well.
func keepSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGHUP)
}

// soakOptions make the storage and the time of day misbehave as the soak asks.
func soakOptions(cmd *urfave.Command) []instance.Option {
	var options []instance.Option
	if notes := cmd.String(flagStorageFaults); notes != "" {
		options = append(options, instance.WithDataFolder(func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder {
			return soak.NewFaultyFolder(path, notes, folder)
		}))
	}
	if ahead := cmd.Duration(flagTimeOfDay); ahead != 0 {
		options = append(options, instance.WithClock(func() time.Time { return time.Now().Add(ahead) }))
	}
	return options
}
