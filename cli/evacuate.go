package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

func evacuateCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "evacuate",
		Usage: "keep calls from the targets of an availability zone",
		Commands: []*urfave.Command{
			{
				Name:      "start",
				Usage:     "send no more calls to the targets of a zone",
				ArgsUsage: "ZONE",
				Action:    startEvacuation,
			},
			{
				Name:      "end",
				Usage:     "send calls to the targets of a zone again",
				ArgsUsage: "ZONE",
				Action:    endEvacuation,
			},
		},
	}
}

func startEvacuation(ctx context.Context, cmd *urfave.Command) error {
	zone, err := argument(cmd, "ZONE")
	if err != nil {
		return err
	}
	resp, err := call(ctx, cmd, schema.OperatorServiceClient.StartEvacuation, &schema.StartEvacuationRequest{Zone: zone})
	if err != nil {
		return err
	}
	return printMessage(cmd, resp, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "zone %s is evacuated as of version %d\n", zone, resp.GetVersion())
	})
}

func endEvacuation(ctx context.Context, cmd *urfave.Command) error {
	zone, err := argument(cmd, "ZONE")
	if err != nil {
		return err
	}
	resp, err := call(ctx, cmd, schema.OperatorServiceClient.EndEvacuation, &schema.EndEvacuationRequest{Zone: zone})
	if err != nil {
		return err
	}
	return printMessage(cmd, resp, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "zone %s is not evacuated as of version %d\n", zone, resp.GetVersion())
	})
}

// formatEvacuations returns the evacuated zones, each with the time since which it is.
func formatEvacuations(evacuations []*schema.Evacuation) string {
	zones := make([]string, 0, len(evacuations))
	for _, e := range evacuations {
		zones = append(zones, fmt.Sprintf("%s (since %s)", e.GetZone(), formatTime(e.GetStartedAt())))
	}
	return strings.Join(zones, ", ")
}
