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

// errCheckFailed means that a check of the demonstration failed.
var errCheckFailed = errors.New("a check failed; see the list above")

func demoCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "demo",
		Usage: "run the whole system on this machine for under a minute",
		Description: "Runs three control instances, two services in three zones and callers in one process on\n" +
			"loopback addresses. The exit code is 0 only if every check passed.",
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
		return errCheckFailed
	}
	return nil
}

// demoOutput is the JSON output of demo.
type demoOutput struct {
	Passed        bool              `json:"kept"`
	Checks        []demoCheckOutput `json:"promises"`
	Load          loadOutput        `json:"load"`
	ConvergenceMs []float64         `json:"convergence_ms"`
	DurationS     float64           `json:"duration_s"`
}

type demoCheckOutput struct {
	Name     string `json:"name"`
	Passed   bool   `json:"kept"`
	Observed string `json:"seen"`
}

func newDemoOutput(r *demo.Result) demoOutput {
	output := demoOutput{Passed: r.Passed(), Load: newLoadOutput(r.Load), DurationS: r.Duration.Seconds()}
	for _, c := range r.Checks() {
		output.Checks = append(output.Checks, demoCheckOutput{Name: c.Name, Passed: c.Passed, Observed: c.Observed})
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
	checks := r.Checks()
	rows := make([][]string, 0, len(checks))
	for _, c := range checks {
		verdict := "BROKEN"
		if c.Passed {
			verdict = "kept"
		}
		rows = append(rows, []string{verdict, c.Name, c.Observed})
	}
	printTable(w, " PROMISE SEEN", rows)
	_, _ = fmt.Fprintf(w, "\nended after %.1f s\n", r.Duration.Seconds())
}
