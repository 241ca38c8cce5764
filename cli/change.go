package cli

import (
	"context"
	"fmt"
	"io"
	"slices"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	flagRemoveService = "remove-service"
	flagRemoveRoute   = "remove-route"
	flagRemoveTeam    = "remove-team"
)

func changeCommand() *urfave.Command {
	flags := slices.Concat(commandFlags(), []urfave.Flag{
		&urfave.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "JSON `FILE` with the services, routes and teams to set, - for standard input"},
		&urfave.StringSliceFlag{Name: flagRemoveService, Usage: "`NAME` of a service to remove; may be repeated"},
		&urfave.StringSliceFlag{Name: flagRemoveRoute, Usage: "`NAME` of a route to remove; may be repeated"},
		&urfave.StringSliceFlag{Name: flagRemoveTeam, Usage: "`NAME` of a team to remove; may be repeated"},
		&urfave.BoolFlag{Name: flagDryRun, Usage: "check the request without applying it"},
	})
	return &urfave.Command{
		Name:  "change",
		Usage: "set or remove single services, routes and teams without touching the others",
		Description: "The file has the form that 'get --format json' prints. Its version and moves are ignored.\n" +
			"Changes of different services by different operators do not conflict.",
		Flags:  flags,
		Action: change,
	}
}

func change(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	req, err := changeRequest(cmd)
	if err != nil {
		return err
	}
	resp, err := call(ctx, cmd, schema.OperatorServiceClient.Change, req)
	if err != nil {
		return err
	}
	return printMessage(cmd, resp, func(w io.Writer) { printAccepted(w, req.GetDryRun(), resp.GetVersion()) })
}

// changeRequest returns the request described by the flags.
func changeRequest(cmd *urfave.Command) (*schema.ChangeRequest, error) {
	req := &schema.ChangeRequest{
		RequestId:       requestID(cmd),
		ExpectedVersion: expectedVersion(cmd),
		RemovedServices: cmd.StringSlice(flagRemoveService),
		RemovedRoutes:   cmd.StringSlice(flagRemoveRoute),
		RemovedTeams:    cmd.StringSlice(flagRemoveTeam),
		DryRun:          cmd.Bool(flagDryRun),
	}
	path := cmd.String(flagFile)
	if path == "" {
		if len(req.GetRemovedServices())+len(req.GetRemovedRoutes())+len(req.GetRemovedTeams()) == 0 {
			return nil, &UsageError{Problem: fmt.Sprintf("nothing to change; give --%s, --%s, --%s or --%s", flagFile, flagRemoveService, flagRemoveRoute, flagRemoveTeam)}
		}
		return req, nil
	}
	configuration, err := readConfiguration(path)
	if err != nil {
		return nil, err
	}
	req.Services, req.Routes, req.Teams = configuration.GetServices(), configuration.GetRoutes(), configuration.GetTeams()
	return req, nil
}

// printAccepted prints the version that a change of the configuration resulted in,
// or the current version after a dry run.
func printAccepted(w io.Writer, dryRun bool, version uint64) {
	if dryRun {
		_, _ = fmt.Fprintf(w, "no faults; nothing was changed (version %d is current)\n", version)
		return
	}
	_, _ = fmt.Fprintf(w, "accepted as version %d\n", version)
}
