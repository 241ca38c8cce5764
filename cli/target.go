package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

func targetCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "target",
		Usage: "run a stand-in target with configurable delays, failures, load shedding, false reports and crashes",
		Description: "A request with the header " + standin.HeaderCrash + " crashes the target. " + standin.HeaderResponseBytes + " asks for\n" +
			"a response of that size. The runs of each request are at " + standin.PathRuns + "?prefix=ID.",
		Flags:  targetFlags(),
		Action: runTarget,
	}
}

func targetFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
		&urfave.StringFlag{Name: "target-version", Required: true, Usage: "`NAME` of the version"},
		&urfave.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` for calls; port 0 takes a free port"},
		&urfave.StringFlag{Name: "announce", Usage: "announcement `ADDRESS` of the target's proxy"},
		&urfave.IntFlag{Name: "slots", Value: standin.DefaultSlots, Usage: "concurrent calls to announce"},
		&urfave.IntFlag{Name: "connections", Value: standin.DefaultConnections, Usage: "connections to announce"},
		&urfave.DurationFlag{Name: "delay", Usage: "duration of a call"},
		&urfave.DurationFlag{Name: "jitter", Usage: "maximum of the random time added to the delay"},
		&urfave.FloatFlag{Name: "fail", Usage: "`SHARE` of the calls that fail, from 0 to 1"},
		&urfave.StringSliceFlag{Name: "fail-path", Usage: "`PREFIX=SHARE[:DELAY]` of a path whose calls fail or are slower"},
		&urfave.DurationFlag{Name: "faults-after", Usage: "time from the start until faults begin"},
		&urfave.IntFlag{Name: "faults-above", Usage: "concurrent calls above which faults begin"},
		&urfave.DurationFlag{Name: "cold-start", Usage: "time from the start in which calls have the cold delay"},
		&urfave.DurationFlag{Name: "cold-delay", Usage: "time added to a call during the cold start"},
		&urfave.IntFlag{Name: "shed-above", Usage: "concurrent calls above which calls are refused with 503"},
		&urfave.StringFlag{Name: "health", Value: string(standin.HealthActual), Usage: "report of the health endpoint: `true`, good or failing"},
		&urfave.StringFlag{Name: "load", Value: string(standin.LoadActual), Usage: "report of the load endpoint: `true`, idle or full"},
		&urfave.Uint64Flag{Name: "seed", Usage: "seed of jitter and failures"},
	}
}

func runTarget(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	options, err := targetOptions(cmd)
	if err != nil {
		return err
	}
	options.Logger = newLogger(cmd)
	target, err := standin.New(ctx, options)
	if err != nil {
		return err
	}
	output := targetOutput{Service: options.Service, Version: options.Version, Address: target.Address().String()}
	err = printValue(cmd, output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s %s takes calls at %s\n", output.Service, output.Version, output.Address)
	})
	if err != nil {
		return err
	}
	return runUntilSignal(ctx, target.Run)
}

// targetOutput is the JSON output of target.
type targetOutput struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Address string `json:"address"`
}

func targetOptions(cmd *urfave.Command) (standin.Options, error) {
	options := standin.Options{
		Service:      cmd.String("service"),
		Version:      cmd.String("target-version"),
		Slots:        cmd.Int("slots"),
		Connections:  cmd.Int("connections"),
		Delay:        cmd.Duration("delay"),
		Jitter:       cmd.Duration("jitter"),
		FailureShare: cmd.Float("fail"),
		FaultsAfter:  cmd.Duration("faults-after"),
		FaultsAbove:  cmd.Int("faults-above"),
		ColdStart:    cmd.Duration("cold-start"),
		ColdDelay:    cmd.Duration("cold-delay"),
		ShedAbove:    cmd.Int("shed-above"),
		Health:       standin.HealthMode(cmd.String("health")),
		Load:         standin.LoadMode(cmd.String("load")),
		Seed:         cmd.Uint64("seed"),
	}
	var err error
	if options.Listen, err = netip.ParseAddrPort(cmd.String("listen")); err != nil {
		return options, &UsageError{Problem: fmt.Sprintf("--listen: %v", err)}
	}
	if announce := cmd.String("announce"); announce != "" {
		if options.Announce, err = netip.ParseAddrPort(announce); err != nil {
			return options, &UsageError{Problem: fmt.Sprintf("--announce: %v", err)}
		}
	}
	for _, value := range cmd.StringSlice("fail-path") {
		fault, err := parsePathFault(value)
		if err != nil {
			return options, err
		}
		options.Paths = append(options.Paths, fault)
	}
	return options, checkTargetOptions(options)
}

func checkTargetOptions(o standin.Options) error {
	switch o.Health {
	case standin.HealthActual, standin.HealthGood, standin.HealthFailing:
	default:
		return &UsageError{Problem: fmt.Sprintf("--health: %q is not true, good or failing", o.Health)}
	}
	switch o.Load {
	case standin.LoadActual, standin.LoadIdle, standin.LoadFull:
	default:
		return &UsageError{Problem: fmt.Sprintf("--load: %q is not true, idle or full", o.Load)}
	}
	if o.FailureShare < 0 || o.FailureShare > 1 {
		return &UsageError{Problem: fmt.Sprintf("--fail: %v is not a share from 0 to 1", o.FailureShare)}
	}
	return nil
}

// parsePathFault parses PREFIX=SHARE or PREFIX=SHARE:DELAY.
func parsePathFault(value string) (standin.PathFault, error) {
	prefix, rest, found := strings.Cut(value, "=")
	shareText, delayText, hasDelay := strings.Cut(rest, ":")
	share, err := strconv.ParseFloat(shareText, 64)
	if !found || err != nil || share < 0 || share > 1 || !strings.HasPrefix(prefix, "/") {
		return standin.PathFault{}, &UsageError{Problem: fmt.Sprintf("--fail-path: %q is not PREFIX=SHARE or PREFIX=SHARE:DELAY, such as /orders=0.2:50ms", value)}
	}
	fault := standin.PathFault{Prefix: prefix, FailureShare: share}
	if hasDelay {
		if fault.Delay, err = time.ParseDuration(delayText); err != nil {
			return standin.PathFault{}, &UsageError{Problem: fmt.Sprintf("--fail-path: %q has no duration after the colon", value)}
		}
	}
	return fault, nil
}
