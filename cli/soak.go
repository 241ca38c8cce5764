package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/soak"
)

// errFindings means that a soak found a violated guarantee, or could not carry out an
// event or check.
var errFindings = errors.New("the soak found a violated guarantee, or could not carry out an event or check; its folder is kept")

const (
	flagSoakSeed      = "seed"
	flagSoakFor       = "for"
	flagSoakProcesses = "processes"
	flagSoakFolder    = "folder"
	flagSoakPowerLoss = "power-loss"
	flagSoakPlan      = "plan"
	// defaultSoakTime and defaultSoakProcesses suit a run that a developer waits
	// for on a machine with eight processors.
	defaultSoakTime      = time.Minute
	defaultSoakProcesses = 18
)

func soakCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "soak",
		Usage: "run the system as separate processes under random faults, and check its guarantees",
		Description: "The faults are derived from the seed: the same seed, time and number of processes give the\n" +
			"same planned faults and clock offsets, but not the same run. The exit code is 0 only if every\n" +
			"guarantee held; otherwise the folder with the settings, data and logs of every process is kept.\n" +
			"The run ends only the processes that it started.",
		Flags: []urfave.Flag{
			&urfave.Uint64Flag{Name: flagSoakSeed, Usage: "seed of the faults; random if not given"},
			&urfave.DurationFlag{Name: flagSoakFor, Value: defaultSoakTime, Usage: "time within which faults begin"},
			&urfave.IntFlag{Name: flagSoakProcesses, Value: defaultSoakProcesses, Usage: fmt.Sprintf("number of processes, %d or more", soak.MinProcesses)},
			&urfave.StringFlag{Name: flagSoakFolder, Usage: "empty folder to use; a temporary folder if not given"},
			&urfave.BoolFlag{Name: flagSoakPowerLoss, Usage: "end with a loss of power everywhere and of as many disks as are tolerated"},
			&urfave.BoolFlag{Name: flagSoakPlan, Usage: "print the faults without running anything"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	seed := cmd.Uint64(flagSoakSeed)
	if !cmd.IsSet(flagSoakSeed) {
		seed = uint64(time.Now().UnixNano())
	}
	out := cmd.Root().Writer
	if cmd.Bool(flagSoakPlan) {
		for _, e := range soak.Plan(seed, cmd.Duration(flagSoakFor)) {
			_, _ = fmt.Fprintln(out, e)
		}
		return nil
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this program: %w", err)
	}
	folder := cmd.String(flagSoakFolder)
	if folder == "" {
		if folder, err = os.MkdirTemp("", "hornbeamwell-soak-"); err != nil {
			return fmt.Errorf("create a temporary folder: %w", err)
		}
	}
	options := soak.Options{
		Seed: seed, Duration: cmd.Duration(flagSoakFor), Processes: cmd.Int(flagSoakProcesses),
		Program: soak.Program{Path: program}, Folder: folder, EndsWithPowerLoss: cmd.Bool(flagSoakPowerLoss),
		Progress: func(since time.Duration, line string) {
			_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "%6.2f s  %s\n", since.Seconds(), line)
		},
	}
	var report *soak.Report
	err = runUntilSignal(ctx, func(ctx context.Context) error {
		var err error
		report, err = soak.Run(ctx, options)
		return err
	})
	if report == nil {
		return err
	}
	printSoak(out, report)
	if len(report.Findings) > 0 {
		_, _ = fmt.Fprintf(out, "settings, data and logs are kept in %s\n", folder)
		return errFindings
	}
	if cmd.String(flagSoakFolder) == "" {
		if removeErr := os.RemoveAll(folder); removeErr != nil {
			return fmt.Errorf("remove the temporary folder: %w", removeErr)
		}
	}
	return err
}

func printSoak(w io.Writer, r *soak.Report) {
	_, _ = fmt.Fprintf(w, "seed %d, %d processes\nevents: %s\n", r.Seed, r.Processes, r.EventCounts())
	_, _ = fmt.Fprintf(w, "steady: %d calls, %v, %v\n", r.Steady.Sent, r.Steady.Verdicts, r.Steady.Reasons)
	_, _ = fmt.Fprintf(w, "under faults: %d calls, %v, %v\n", r.UnderFaults.Sent, r.UnderFaults.Verdicts, r.UnderFaults.Reasons)
	_, _ = fmt.Fprintf(w, "large responses: %d calls, %v, %v; %d without a fault on their way, %d waited for a link for a second\n",
		r.Archive.Sent, r.Archive.Verdicts, r.Archive.Reasons, r.ArchiveSound, r.LongLinkWaits)
	_, _ = fmt.Fprintf(w, "slow: %d calls, %v, %v; %d calls of all kinds during planned stops, %d of them abandoned\n",
		r.Slow.Sent, r.Slow.Verdicts, r.Slow.Reasons, r.StopCalls, r.Abandoned)
	_, _ = fmt.Fprintf(w, "%d changes, %d moves, %d reads, %d probes, recovered after %s\n",
		r.Changes, r.Moves, r.Reads, r.Probes, r.Recovery.Round(time.Millisecond))
	for _, finding := range r.Findings {
		_, _ = fmt.Fprintf(w, "FINDING: %s\n", finding)
	}
}
