package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/review"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	flagFile   = "file"
	flagDryRun = "dry-run"
	// maxConfigurationBytes is the maximum size of a configuration file.
	maxConfigurationBytes = 16 << 20
)

func applyCommand() *urfave.Command {
	flags := slices.Concat(commandFlags(), []urfave.Flag{
		&urfave.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "JSON `FILE` with services, routes and teams, - for standard input", Required: true},
		&urfave.BoolFlag{Name: flagDryRun, Usage: "check the request without applying it"},
	})
	return &urfave.Command{
		Name:  "apply",
		Usage: "replace the services, routes and teams by those of a file",
		Description: "The file has the form that 'get --format json' prints. Its version, if any, is the expected\n" +
			"version unless --expected-version is given. Its moves are ignored.",
		Flags:  flags,
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	configuration, err := readConfiguration(cmd.String(flagFile))
	if err != nil {
		return err
	}
	req := &schema.ApplyRequest{
		RequestId:       requestID(cmd),
		ExpectedVersion: expectedVersion(cmd),
		Services:        configuration.GetServices(),
		Routes:          configuration.GetRoutes(),
		Teams:           configuration.GetTeams(),
		DryRun:          cmd.Bool(flagDryRun),
	}
	if version := configuration.GetVersion(); req.ExpectedVersion == nil && version > 0 {
		req.ExpectedVersion = &version
	}
	resp, err := call(ctx, cmd, schema.OperatorServiceClient.Apply, req)
	if err != nil {
		return err
	}
	return printMessage(cmd, resp, func(w io.Writer) { printAccepted(w, req.GetDryRun(), resp.GetVersion()) })
}

// readConfiguration reads a configuration file. Fields that are not in the schema
// are an error. An error names the place in the file and quotes none of its values.
func readConfiguration(path string) (*schema.Configuration, error) {
	data, err := readLimited(path, maxConfigurationBytes)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return review.Decode(path, data)
}

func readLimited(path string, limit int64) ([]byte, error) {
	// The path "-" stands for standard input.
	file := os.Stdin
	if path != "-" {
		opened, err := os.Open(path)
		if err != nil {
			return nil, &UsageError{Problem: err.Error()}
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if int64(len(data)) > limit {
		return nil, &UsageError{Problem: fmt.Sprintf("%s is larger than %d bytes", path, limit)}
	}
	return data, nil
}

// withRequestID adds the request id to the error of a command whose outcome is
// unknown.
func withRequestID(err error, id string) error {
	if errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
		return fmt.Errorf("%w\nsend it again with --request-id %s", err, id)
	}
	return err
}
