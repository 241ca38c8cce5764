package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	urfave "github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	flagBy     = "by"
	flagFrom   = "from"
	flagHold   = "hold"
	flagPrefer = "prefer"
)

func moveStartCommand() *urfave.Command {
	flags := slices.Concat(commandFlags(), []urfave.Flag{
		&urfave.StringFlag{Name: flagBy, Usage: "deadline as a `TIME` such as 2027-01-15T18:00:00+01:00, or a duration from now such as 30m", Required: true},
		&urfave.StringFlag{Name: flagFrom, Usage: "`VERSION` that the calls leave (default: the one with the full share; for an open service without versions, the one that most ready targets run)"},
		&urfave.DurationFlag{Name: flagHold, Usage: "`TIME` for which the old version stays warm (default: of the settings)"},
		&urfave.StringFlag{Name: flagPrefer, Usage: "at a deadline with too little evidence, `safety` takes back and deadline completes (default: of the settings)"},
	})
	return &urfave.Command{
		Name:      "start",
		Usage:     "start a move and print its id",
		ArgsUsage: "SERVICE VERSION",
		Flags:     flags,
		Action:    moveStart,
	}
}

func moveStart(ctx context.Context, cmd *urfave.Command) error {
	args, err := arguments(cmd, "SERVICE", "VERSION")
	if err != nil {
		return err
	}
	deadline, err := parseDeadline(time.Now(), cmd.String(flagBy))
	if err != nil {
		return err
	}
	req := &schema.StartMoveRequest{
		RequestId:       requestID(cmd),
		ExpectedVersion: expectedVersion(cmd),
		Service:         args[0],
		From:            cmd.String(flagFrom),
		To:              args[1],
		Deadline:        timestamppb.New(deadline),
		Prefer:          cmd.String(flagPrefer),
	}
	if cmd.IsSet(flagHold) {
		req.Hold = durationpb.New(cmd.Duration(flagHold))
	}
	resp, err := call(ctx, cmd, schema.OperatorServiceClient.StartMove, req)
	if err != nil {
		return err
	}
	return printMessage(cmd, resp, func(w io.Writer) { printMove(w, resp.GetMove()) })
}

// parseDeadline parses a time in the format of RFC 3339, or a duration from now.
func parseDeadline(now time.Time, value string) (time.Time, error) {
	if d, err := time.ParseDuration(value); err == nil {
		if d <= 0 {
			return time.Time{}, &UsageError{Problem: fmt.Sprintf("--by: %q is not in the future", value)}
		}
		return now.Add(d), nil
	}
	deadline, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return time.Time{}, &UsageError{Problem: fmt.Sprintf("--by: %q is neither a time nor a duration; give one such as 2027-01-15T18:00:00+01:00, or 30m", value)}
	}
	if !deadline.After(now) {
		return time.Time{}, &UsageError{Problem: fmt.Sprintf("--by: %q is not in the future", value)}
	}
	return deadline, nil
}
