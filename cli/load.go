package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/load"
)

func loadCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "load",
		Usage: "send a bounded load to entry proxies and check every response",
		Description: "The targets are stand-in targets. The exit code is 1 when a call was lost, cut, crossed or\n" +
			"doubled, was answered but never ran, or ran although it was refused.",
		Flags:  loadFlags(),
		Action: runLoad,
	}
}

func loadFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringSliceFlag{Name: "entry", Required: true, Usage: "caller `ADDRESS` of an entry proxy; several are used in turn"},
		&urfave.StringSliceFlag{Name: "count-at", Usage: "`ADDRESS` of a stand-in target that is asked for its runs at the end"},
		&urfave.FloatFlag{Name: "rate", Value: 100, Usage: "calls per second, an open load: each starts on time whether or not earlier ones ended"},
		&urfave.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the load"},
		&urfave.DurationFlag{Name: "call-timeout", Value: load.DefaultTimeout, Usage: "bound on one call"},
		&urfave.IntFlag{Name: "max-in-flight", Value: load.DefaultMaxInFlight, Usage: "bound on the concurrent calls"},
		&urfave.StringFlag{Name: "host", Usage: "`HOST` of the calls"},
		&urfave.StringFlag{Name: "read-path", Value: "/", Usage: "`PATH` of idempotent calls, sent with GET"},
		&urfave.StringFlag{Name: "write-path", Value: "/", Usage: "`PATH` of non-idempotent calls, sent with POST"},
		&urfave.FloatFlag{Name: "write-share", Usage: "`SHARE` of non-idempotent calls, from 0 to 1"},
		&urfave.IntFlag{Name: "body-bytes", Value: 256, Usage: "size of the body of half of the non-idempotent calls; the others have none"},
		&urfave.IntFlag{Name: "answer-bytes", Value: 1024, Usage: "size of the responses"},
		&urfave.BoolFlag{Name: "resend", Usage: "send a keyed call again with its key when its outcome is unknown"},
		&urfave.Uint64Flag{Name: "seed", Usage: "seed of the mix"},
	}
}

func runLoad(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	options, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	l, err := load.New(options)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	var report load.Report
	err = runUntilSignal(ctx, func(ctx context.Context) error {
		var err error
		report, err = l.Run(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if err := printValue(cmd, newLoadOutput(report), func(w io.Writer) { printLoad(w, report) }); err != nil {
		return err
	}
	if !report.Passed() {
		return fmt.Errorf("a guarantee to callers was violated; see the counts above")
	}
	return nil
}

func loadOptions(cmd *urfave.Command) (load.Options, error) {
	entries, err := parseAddresses("--entry", cmd.StringSlice("entry"))
	if err != nil {
		return load.Options{}, err
	}
	targets, err := parseAddresses("--count-at", cmd.StringSlice("count-at"))
	if err != nil {
		return load.Options{}, err
	}
	share := cmd.Float("write-share")
	if share < 0 || share > 1 {
		return load.Options{}, &UsageError{Problem: fmt.Sprintf("--write-share: %v is not a share from 0 to 1", share)}
	}
	options := load.Options{
		Entries:     entries,
		Calls:       loadCalls(cmd, share),
		Rate:        cmd.Float("rate"),
		Duration:    cmd.Duration("duration"),
		Timeout:     cmd.Duration("call-timeout"),
		MaxInFlight: cmd.Int("max-in-flight"),
		Resend:      cmd.Bool("resend"),
		Seed:        cmd.Uint64("seed"),
	}
	if len(targets) > 0 {
		options.CountRuns = load.RunCounter(targets)
	}
	return options, nil
}

// loadCalls returns the mix of calls: idempotent ones, and non-idempotent ones with
// and without a body and an idempotency key.
func loadCalls(cmd *urfave.Command, writeShare float64) []load.Call {
	responseBytes := cmd.Int("answer-bytes")
	read := load.Call{Weight: 1 - writeShare, Method: http.MethodGet, Host: cmd.String("host"), Path: cmd.String("read-path"), Idempotent: true, ResponseBytes: responseBytes}
	write := load.Call{Weight: writeShare / 4, Method: http.MethodPost, Host: cmd.String("host"), Path: cmd.String("write-path"), ResponseBytes: responseBytes}
	calls := make([]load.Call, 0, 5)
	calls = append(calls, read)
	for _, keyed := range []bool{false, true} {
		for _, size := range []int{0, cmd.Int("body-bytes")} {
			write.Keyed, write.BodyBytes = keyed, size
			calls = append(calls, write)
		}
	}
	return slices.DeleteFunc(calls, func(c load.Call) bool { return c.Weight == 0 })
}
