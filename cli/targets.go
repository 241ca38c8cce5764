package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

func targetsCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "targets",
		Usage: "print the targets that announced themselves",
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			resp, err := call(ctx, cmd, schema.OperatorServiceClient.ListTargets, &schema.ListTargetsRequest{})
			if err != nil {
				return err
			}
			return printMessage(cmd, resp, func(w io.Writer) { printTargets(w, resp.GetTargets()) })
		},
	}
}

func printTargets(w io.Writer, targets []*schema.Target) {
	rows := make([][]string, 0, len(targets))
	for _, t := range targets {
		rows = append(rows, []string{
			t.GetId(), t.GetService(), t.GetVersion(), t.GetZone(), t.GetExit(),
			fmt.Sprint(t.GetSlots()), fmt.Sprint(t.GetConnections()), t.GetState(),
		})
	}
	printTable(w, "TARGET SERVICE VERSION ZONE EXIT SLOTS CONNECTIONS STATE", rows)
}
