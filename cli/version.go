package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	urfave "github.com/urfave/cli/v3"
)

// versionOutput is the JSON output of version.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func versionCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Action: func(_ context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			v := buildVersion()
			return printValue(cmd, v, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "hornbeamwell %s (revision %s, %s)\n", v.Version, v.Revision, v.Go)
			})
		},
	}
}

func buildVersion() versionOutput {
	v := versionOutput{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	info, found := debug.ReadBuildInfo()
	if !found {
		return v
	}
	v.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
