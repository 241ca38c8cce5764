package cli

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"
	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/console"
)

// Names of the flags that several commands share.
const (
	flagFormat          = "format"
	flagOperator        = "operator"
	flagTimeout         = "timeout"
	flagRequestID       = "request-id"
	flagExpectedVersion = "expected-version"
	flagWait            = "wait"
)

const (
	// defaultTimeout bounds a command with all its attempts.
	defaultTimeout = 15 * time.Second
	// defaultWaitTimeout bounds a command with --wait.
	defaultWaitTimeout = time.Minute
)

func globalFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringFlag{
			Name:    flagFormat,
			Aliases: []string{"output"},
			Value:   formatText,
			Usage:   "output as `text` or json",
			Validator: func(format string) error {
				if format != formatText && format != formatJSON {
					return fmt.Errorf("unknown format %q; give %s or %s", format, formatText, formatJSON)
				}
				return nil
			},
		},
		&urfave.StringSliceFlag{
			Name:    flagOperator,
			Sources: urfave.EnvVars("HORNBEAMWELL_OPERATOR"),
			Usage:   "operator `ADDRESS` of a control instance, such as 10.1.0.4:7403; several are tried in order",
		},
		&urfave.DurationFlag{
			Name:        flagTimeout,
			Value:       defaultTimeout,
			DefaultText: "15s, with --wait 1m",
			Usage:       "bound on an operator command with its resends and waits",
		},
	}
}

// commandFlags returns the flags of commands that change the configuration.
func commandFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringFlag{
			Name:  flagRequestID,
			Usage: "`ID` of the command; a resend with the same id gets the first reply (default: a new one)",
		},
		&urfave.Uint64Flag{
			Name:  flagExpectedVersion,
			Usage: "refuse the command unless this `VERSION` is current (default: any)",
		},
	}
}

func waitFlag(usage string) urfave.Flag {
	return &urfave.BoolFlag{Name: flagWait, Usage: usage}
}

func requestID(cmd *urfave.Command) string {
	if id := cmd.String(flagRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

// expectedVersion returns the expected version, nil if the flag is not given.
func expectedVersion(cmd *urfave.Command) *uint64 {
	if !cmd.IsSet(flagExpectedVersion) {
		return nil
	}
	version := cmd.Uint64(flagExpectedVersion)
	return &version
}

// connectOperator returns a client of the control instances and a context that
// ends with the command's timeout.
func connectOperator(ctx context.Context, cmd *urfave.Command) (context.Context, context.CancelFunc, *console.Client, error) {
	addresses, err := parseAddresses("--"+flagOperator, cmd.StringSlice(flagOperator))
	if err != nil {
		return nil, nil, nil, err
	}
	if len(addresses) == 0 {
		return nil, nil, nil, &UsageError{Problem: "no control instance given; give --operator ADDRESS or set HORNBEAMWELL_OPERATOR"}
	}
	client, err := console.New(addresses)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout(cmd))
	return ctx, cancel, client, nil
}

// commandTimeout returns the value of --timeout, whose default is longer with
// --wait.
func commandTimeout(cmd *urfave.Command) time.Duration {
	if cmd.Bool(flagWait) && !cmd.IsSet(flagTimeout) {
		return defaultWaitTimeout
	}
	return cmd.Duration(flagTimeout)
}

func parseAddresses(flag string, values []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, value := range values {
		address, err := netip.ParseAddrPort(strings.TrimSpace(value))
		if err != nil {
			return nil, &UsageError{Problem: fmt.Sprintf("%s: %q is not an address; give an IP address and a port, such as 10.1.0.4:7403", flag, value)}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
