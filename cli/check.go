package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/settings"
)

const flagSettings = "settings"

func settingsFlag() urfave.Flag {
	return &urfave.StringFlag{Name: flagSettings, Usage: "JSON `FILE` with the settings of this process", Required: true}
}

func checkCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "check",
		Usage: "check a settings file and print all its faults",
		Flags: []urfave.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			path := cmd.String(flagSettings)
			s, err := settings.Load(path)
			if err != nil {
				return fmt.Errorf("%s:\n%w", path, err)
			}
			return printValue(cmd, checkOutput{File: path, Instance: s.Instance, Zone: s.Zone, Role: role(s)}, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%s: instance %s in %s is a %s; no faults\n", path, s.Instance, s.Zone, role(s))
			})
		},
	}
}

// checkOutput is the JSON output of check.
type checkOutput struct {
	File     string `json:"file"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Role     string `json:"role"`
}

func role(s settings.Settings) string {
	switch {
	case s.Control != nil:
		return "control instance and proxy"
	case s.Relay != nil:
		return "relay and proxy"
	default:
		return "proxy"
	}
}
