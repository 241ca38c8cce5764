package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/operator"
	"github.com/hornbeamwell/hornbeamwell/quota"
	"github.com/hornbeamwell/hornbeamwell/review"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	flagAgainst = "against"
	flagControl = "control"
)

func reviewCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "review",
		Usage:     "print what is wrong with a configuration file, and what it would change",
		ArgsUsage: "FILE",
		Description: "The file has the form that 'get --format json' prints, - for standard input. Without\n" +
			"--against and --control, only the file is checked.\n" +
			"Exit codes: 0 nothing found, 1 the review failed or the file is invalid, 2 findings.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: flagAgainst, Usage: "JSON `FILE` with the version in force"},
			&urfave.BoolFlag{Name: flagControl, Usage: "read the version in force and the targets from the control instances"},
		},
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			err := runReview(ctx, cmd)
			var failed *ReviewError
			if err == nil || errors.As(err, &failed) {
				return err
			}
			return &ReviewError{Problem: err.Error(), Cause: err}
		},
		OnUsageError: func(_ context.Context, _ *urfave.Command, err error, _ bool) error {
			return &ReviewError{Problem: err.Error(), Cause: &UsageError{Problem: err.Error()}}
		},
	}
}

func runReview(ctx context.Context, cmd *urfave.Command) error {
	path, err := argument(cmd, "FILE")
	if err != nil {
		return err
	}
	if cmd.String(flagAgainst) != "" && cmd.Bool(flagControl) {
		return &UsageError{Problem: fmt.Sprintf("--%s and --%s exclude each other", flagAgainst, flagControl)}
	}
	data, err := readLimited(path, maxConfigurationBytes)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	file, err := review.Decode(path, data)
	if err != nil {
		return err
	}
	base, baseErr := readBase(ctx, cmd)
	if baseErr != nil && !cmd.Bool(flagControl) {
		return baseErr
	}
	output := reviewOutput{File: path, Against: base.name}
	invalid := output.check(file, base)
	output.addPlaces(review.FindPlaces(data))
	if err := printValue(cmd, output, output.print); err != nil {
		return err
	}
	switch {
	case invalid != nil:
		return &ReviewError{Problem: fmt.Sprintf("%s is invalid: %s", path, countOf(len(output.Errors), "error")), Cause: invalid}
	case baseErr != nil:
		return &ReviewError{Problem: fmt.Sprintf("only the file was checked, since the version in force could not be read: %v", baseErr), Cause: baseErr}
	case len(output.Findings) > 0:
		return &ReviewError{Problem: fmt.Sprintf("%s has %s", path, countOf(len(output.Findings), "finding")), HasFindings: true}
	}
	return nil
}

// reviewBase is what a file is compared with.
type reviewBase struct {
	// name is empty if there is nothing to compare with.
	name          string
	configuration *hornbeamwell.Configuration
	facts         review.Facts
}

// readBase reads what the flags name. If it fails, it returns a base without name and an
// error.
func readBase(ctx context.Context, cmd *urfave.Command) (reviewBase, error) {
	base := reviewBase{configuration: &hornbeamwell.Configuration{}, facts: review.Facts{Bounds: quota.DefaultBounds()}}
	var message *schema.Configuration
	var name string
	switch path := cmd.String(flagAgainst); {
	case path != "":
		file, err := readConfiguration(path)
		if err != nil {
			return base, err
		}
		message, name = file, path
	case cmd.Bool(flagControl):
		resp, err := call(ctx, cmd, schema.OperatorServiceClient.Get, &schema.GetRequest{})
		if err != nil {
			return base, readError(err)
		}
		targets, err := call(ctx, cmd, schema.OperatorServiceClient.ListTargets, &schema.ListTargetsRequest{})
		if err != nil {
			return base, readError(err)
		}
		message = resp.GetConfiguration()
		name = fmt.Sprintf("version %d", message.GetVersion())
		base.facts.TargetCounts = countTargets(targets.GetTargets())
	default:
		return base, nil
	}
	configuration, err := operator.ToConfiguration(message)
	if err != nil {
		return base, fmt.Errorf("convert %s: %w", name, err)
	}
	base.name, base.configuration = name, configuration
	return base, nil
}

// readError returns the error of a read. A read without a reply changed nothing, so its
// outcome is not unknown.
func readError(err error) error {
	if errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
		return fmt.Errorf("no reply within --%s: %w", flagTimeout, console.ErrUnavailable)
	}
	return err
}

// countTargets returns the number of targets that take calls by service.
func countTargets(targets []*schema.Target) map[string]int {
	counts := map[string]int{}
	for _, t := range targets {
		if t.GetState() == string(hornbeamwell.TargetReady) {
			counts[t.GetService()]++
		}
	}
	return counts
}

// reviewOutput is the JSON output of review.
type reviewOutput struct {
	File string `json:"file"`
	// Against is empty if the file was not compared.
	Against     string             `json:"against"`
	Errors      []errorPlaceOutput `json:"errors"`
	Findings    []findingOutput    `json:"findings"`
	Differences []differenceOutput `json:"differences"`
}

// placeOutput is the place of a field, or of the innermost field around it that the file
// contains. It is empty if the file contains none.
type placeOutput struct {
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

func (p placeOutput) String() string {
	if p.Line == 0 {
		return ""
	}
	return fmt.Sprintf(" (line %d, column %d)", p.Line, p.Column)
}

type errorPlaceOutput struct {
	faultOutput
	placeOutput
}

type findingOutput struct {
	Kind    string `json:"kind"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
	placeOutput
}

type differenceOutput struct {
	Resource    string   `json:"resource"`
	Name        string   `json:"name"`
	Change      string   `json:"change"`
	Fields      []string `json:"fields,omitempty"`
	KeysAdded   int      `json:"keys_added,omitempty"`
	KeysRemoved int      `json:"keys_removed,omitempty"`
}

// check fills the output. It returns the errors of an invalid file, which is neither
// searched for findings nor compared.
func (o *reviewOutput) check(file *schema.Configuration, base reviewBase) error {
	o.Errors, o.Findings, o.Differences = []errorPlaceOutput{}, []findingOutput{}, []differenceOutput{}
	wanted, err := operator.ToResources(file)
	if err == nil {
		err = catalog.CheckApply(base.configuration, wanted)
	}
	if err != nil {
		for _, fault := range faultOutputs(err) {
			o.Errors = append(o.Errors, errorPlaceOutput{faultOutput: fault})
		}
		return err
	}
	for _, f := range review.Findings(wanted, base.facts) {
		o.Findings = append(o.Findings, findingOutput{Kind: string(f.Kind), Field: f.Field, Problem: f.Problem})
	}
	if base.name == "" {
		return nil
	}
	for _, d := range review.Differences(base.configuration, wanted) {
		o.Differences = append(o.Differences, differenceOutput{
			Resource: string(d.Resource), Name: d.Name, Change: string(d.Change), Fields: d.Fields, KeysAdded: d.KeysAdded, KeysRemoved: d.KeysRemoved,
		})
	}
	return nil
}

func (o *reviewOutput) addPlaces(places review.Places) {
	for i := range o.Errors {
		e := &o.Errors[i]
		e.Line, e.Column = places.Find(e.Field)
	}
	for i := range o.Findings {
		f := &o.Findings[i]
		f.Line, f.Column = places.Find(f.Field)
	}
}

// print prints the output as text.
func (o *reviewOutput) print(w io.Writer) {
	for _, e := range o.Errors {
		_, _ = fmt.Fprintf(w, "error: %s: %s%s\n", e.Field, e.Problem, e.placeOutput)
	}
	for _, f := range o.Findings {
		_, _ = fmt.Fprintf(w, "%s: %s: %s%s\n", strings.ReplaceAll(f.Kind, "_", " "), f.Field, f.Problem, f.placeOutput)
	}
	for _, d := range o.Differences {
		_, _ = fmt.Fprintf(w, "%s %s %s%s\n", d.Change, d.Resource, d.Name, d.details())
	}
	switch {
	case len(o.Errors) > 0:
	case o.Against == "":
		_, _ = fmt.Fprintf(w, "%s: no errors, %s; not compared\n", o.File, countOf(len(o.Findings), "finding"))
	default:
		_, _ = fmt.Fprintf(w, "%s: no errors, %s, %s from %s\n", o.File, countOf(len(o.Findings), "finding"), countOf(len(o.Differences), "difference"), o.Against)
	}
}

// details describes the changed fields and keys.
func (d *differenceOutput) details() string {
	var parts []string
	if len(d.Fields) > 0 {
		parts = append(parts, strings.Join(d.Fields, ", "))
	}
	if d.KeysAdded > 0 {
		parts = append(parts, countOf(d.KeysAdded, "key")+" added")
	}
	if d.KeysRemoved > 0 {
		parts = append(parts, countOf(d.KeysRemoved, "key")+" removed")
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(parts, "; ")
}

// countOf returns the number with the noun.
func countOf(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
