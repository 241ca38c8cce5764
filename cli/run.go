package cli

import (
	"context"
	"syscall"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"
)

// runUntilSignal runs an actor until it ends or the process receives SIGTERM or
// SIGINT. Such a signal is not an error, but an error that the actor returns after the
// signal is.
func runUntilSignal(ctx context.Context, actor func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	var actorErr error
	group.Add(func() error {
		actorErr = actor(ctx)
		return actorErr
	}, func(error) { cancel() })
	signals, interrupt := run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT)
	group.Add(signals, interrupt)
	var stopped *run.SignalError
	err := group.Run()
	if errors.As(err, &stopped) {
		return actorErr
	}
	return err
}

// newLogger returns a logger to standard error: JSON if the output is JSON, else
// logfmt.
func newLogger(cmd *urfave.Command) log.Logger {
	w := log.NewSyncWriter(cmd.Root().ErrWriter)
	logger := log.NewLogfmtLogger(w)
	if cmd.String(flagFormat) == formatJSON {
		logger = log.NewJSONLogger(w)
	}
	return log.With(logger, "at", log.DefaultTimestampUTC)
}
