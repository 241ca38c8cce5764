package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/demo"
)

// errPromiseBroken means that a promise of the demonstration did not hold.
var errPromiseBroken = errors.New("a promise was broken; see the list above")

func demoCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "demo",
		Usage: "show the whole system at work on this machine, in under a minute",
		Description: "Runs three control instances, two services in three zones and callers in one process on\n" +
			"loopback addresses. The exit code is 0 only if every promise held.",
		Flags:  []urfave.Flag{&urfave.BoolFlag{Name: "logs", Usage: "print the log lines of every process to standard error"}},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	progress := cmd.Root().Writer
	if cmd.String(flagFormat) == formatJSON {
		progress = cmd.Root().ErrWriter
	}
	options := demo.Options{
		Progress: func(since time.Duration, line string) {
			_, _ = fmt.Fprintf(progress, "%5.1f s  %s\n", since.Seconds(), line)
		},
		Logger: log.NewNopLogger(),
	}
	if cmd.Bool("logs") {
		options.Logger = newLogger(cmd)
	}
	var result *demo.Result
	err := runUntilSignal(ctx, func(ctx context.Context) error {
		var err error
		result, err = demo.Run(ctx, options)
		return err
	})
	if result != nil {
		if printErr := printValue(cmd, newDemoOutput(result), func(w io.Writer) { printDemo(w, result) }); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return err
	}
	if !result.Passed() {
		return errPromiseBroken
	}
	return nil
}

// demoOutput is the JSON output of demo.
type demoOutput struct {
	Kept          bool            `json:"kept"`
	Promises      []promiseOutput `json:"promises"`
	Load          loadOutput      `json:"load"`
	ConvergenceMs []float64       `json:"convergence_ms"`
	DurationS     float64         `json:"duration_s"`
}

type promiseOutput struct {
	Name string `json:"name"`
	Kept bool   `json:"kept"`
	Seen string `json:"seen"`
}

func newDemoOutput(r *demo.Result) demoOutput {
	output := demoOutput{Kept: r.Passed(), Load: newLoadOutput(r.Load), DurationS: r.Duration.Seconds()}
	for _, p := range r.Checks() {
		output.Promises = append(output.Promises, promiseOutput{Name: p.Name, Kept: p.Passed, Seen: p.Observed})
	}
	for _, d := range r.Convergence {
		output.ConvergenceMs = append(output.ConvergenceMs, milliseconds(d))
	}
	return output
}

func printDemo(w io.Writer, r *demo.Result) {
	_, _ = fmt.Fprintln(w)
	printLoad(w, r.Load)
	_, _ = fmt.Fprintln(w)
	promises := r.Checks()
	rows := make([][]string, 0, len(promises))
	for _, p := range promises {
		kept := "BROKEN"
		if p.Passed {
			kept = "kept"
		}
		rows = append(rows, []string{kept, p.Name, p.Observed})
	}
	printTable(w, " PROMISE SEEN", rows)
	_, _ = fmt.Fprintf(w, "\nended after %.1f s\n", r.Duration.Seconds())
}
