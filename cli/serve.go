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
	"github.com/hornbeamwell/hornbeamwell/logline"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/soak"
)

const (
	flagFirstStart = "first-start"
	// The soak test injects faults into the storage and the clock of a process with
	// these flags. They are hidden from the help.
	flagStorageFaults = "storage-faults"
	flagTimeOfDay     = "time-of-day"
)

func serveCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "serve",
		Usage: "run one process of the system until SIGTERM",
		Description: "The settings say whether the process is a control instance, a relay or a proxy alone. SIGTERM\n" +
			"stops it gracefully: its target is drained, calls in flight finish, then it ends with exit code 0.\n" +
			"A second SIGTERM and SIGHUP are ignored.",
		Flags: []urfave.Flag{
			settingsFlag(),
			&urfave.BoolFlag{Name: flagFirstStart, Usage: "no process has run with this id before, so no record of a call with an idempotency key is lost"},
			&urfave.StringFlag{Name: flagStorageFaults, Hidden: true},
			&urfave.DurationFlag{Name: flagTimeOfDay, Hidden: true},
		},
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			catchSignals()
			path := cmd.String(flagSettings)
			s, err := settings.Load(path)
			if err != nil {
				return fmt.Errorf("%s:\n%w", path, err)
			}
			instance.LimitMemory(s.MemoryBytes)
			logger := newLogger(cmd)
			logline.RedirectLibraries(logger)
			options := []instance.Option{instance.WithLogger(logger)}
			if cmd.Bool(flagFirstStart) {
				options = append(options, instance.WithFirstStart())
			}
			process, err := instance.New(s, append(options, faultOptions(cmd)...)...)
			if err != nil {
				return fmt.Errorf("start %s: %w", s.Instance, err)
			}
			return runUntilSignal(ctx, process.Run)
		},
	}
}

// catchSignals catches SIGTERM and SIGHUP until the process has ended. Their default
// action ends the process at once, but a second SIGTERM, or a SIGHUP at any time, must
// not abort the calls in flight. The first SIGTERM after the start of runUntilSignal
// also reaches its handler; an earlier one has no effect.
func catchSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGHUP)
}

// faultOptions returns the options that inject the soak's faults into the storage and
// the clock.
func faultOptions(cmd *urfave.Command) []instance.Option {
	var options []instance.Option
	if faultFolder := cmd.String(flagStorageFaults); faultFolder != "" {
		options = append(options, instance.WithDataFolderWrapper(func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder {
			return soak.NewFaultyFolder(path, faultFolder, folder)
		}))
	}
	if offset := cmd.Duration(flagTimeOfDay); offset != 0 {
		options = append(options, instance.WithClock(func() time.Time { return time.Now().Add(offset) }))
	}
	return options
}
