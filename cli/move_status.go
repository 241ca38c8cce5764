package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// pollInterval is the time between two polls of a command with --wait.
const pollInterval = 250 * time.Millisecond

func moveStatusCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "status",
		Usage:     "print a move with its share, evidence and expected end",
		ArgsUsage: "MOVE",
		Flags:     []urfave.Flag{waitFlag("wait until the move is done or taken back, or until --timeout")},
		Action:    moveStatus,
	}
}

func moveStatus(ctx context.Context, cmd *urfave.Command) error {
	id, err := argument(cmd, "MOVE")
	if err != nil {
		return err
	}
	ctx, cancel, client, err := connectOperator(ctx, cmd)
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := console.Call(ctx, client, schema.OperatorServiceClient.GetMove, &schema.GetMoveRequest{Id: id})
	for err == nil && cmd.Bool(flagWait) && !isFinal(resp.GetMove()) && sleep(ctx, pollInterval) {
		var next *schema.GetMoveResponse
		next, err = console.Call(ctx, client, schema.OperatorServiceClient.GetMove, &schema.GetMoveRequest{Id: id})
		if err != nil && ctx.Err() != nil {
			// The timeout has ended the poll: the last reply is printed.
			err = nil
			break
		}
		resp = next
	}
	if err != nil {
		return err
	}
	if err := printMessage(cmd, resp, func(w io.Writer) { printMoveStatus(w, resp) }); err != nil {
		return err
	}
	if !cmd.Bool(flagWait) {
		return nil
	}
	return waitResult(resp.GetMove())
}

// waitResult returns an error unless the move that was waited for is done.
func waitResult(m *schema.Move) error {
	switch hornbeamwell.Phase(m.GetPhase()) {
	case hornbeamwell.PhaseDone:
		return nil
	case hornbeamwell.PhaseTakenBack:
		return &TakenBackError{ID: m.GetId(), Reason: m.GetReason()}
	default:
		return &WaitTimeoutError{Pending: fmt.Sprintf("move %s is in phase %s; wait longer with --timeout", m.GetId(), m.GetPhase())}
	}
}

func isFinal(m *schema.Move) bool {
	return hornbeamwell.Phase(m.GetPhase()).IsFinal()
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func printMove(w io.Writer, m *schema.Move) {
	_, _ = fmt.Fprintf(w, "move %s: %s from %s to %s\n", m.GetId(), m.GetService(), m.GetFrom(), m.GetTo())
	_, _ = fmt.Fprintf(w, "  phase     %s\n", phaseText(m))
	_, _ = fmt.Fprintf(w, "  share     %s of the calls go to %s\n", formatShare(m.GetShare()), m.GetTo())
	_, _ = fmt.Fprintf(w, "  deadline  %s, prefer %s\n", formatTime(m.GetDeadline()), m.GetPrefer())
	if m.GetReason() != "" {
		_, _ = fmt.Fprintf(w, "  reason    %s\n", m.GetReason())
	}
	if m.GetEndedAt() != nil {
		_, _ = fmt.Fprintf(w, "  ended     %s\n", formatTime(m.GetEndedAt()))
	}
}

func printMoveStatus(w io.Writer, resp *schema.GetMoveResponse) {
	m := resp.GetMove()
	printMove(w, m)
	if !isFinal(m) {
		_, _ = fmt.Fprintf(w, "  in force  %s in the last window\n", formatShare(resp.GetShareInForce()))
		_, _ = fmt.Fprintf(w, "  expected  %s\n", expectedEnd(resp))
	}
	if resp.GetWaitsFor() != "" {
		_, _ = fmt.Fprintf(w, "  waits for %s\n", resp.GetWaitsFor())
	}
	printFigures(w, m, resp.GetRoutes())
}

func expectedEnd(resp *schema.GetMoveResponse) string {
	if resp.GetAtRisk() {
		return formatTime(resp.GetExpectedEnd()) + ", at risk of missing the deadline"
	}
	return formatTime(resp.GetExpectedEnd())
}

func printFigures(w io.Writer, m *schema.Move, routes []*schema.RouteEvidence) {
	rows := make([][]string, 0, 1+len(routes))
	rows = append(rows, figuresRow("all", m.GetFigures(), "-"))
	for _, r := range routes {
		rows = append(rows, figuresRow(r.GetRoute(), r.GetFigures(), r.GetVerdict()))
	}
	_, _ = fmt.Fprintln(w)
	printTable(w, "ROUTE NEW_CALLS NEW_FAILED NEW_P99 OLD_CALLS OLD_FAILED OLD_P99 VERDICT", rows)
}

func figuresRow(route string, f *schema.MoveFigures, verdict string) []string {
	return []string{
		route,
		fmt.Sprint(f.GetNewCalls()), fmt.Sprint(f.GetNewFailures()), f.GetNewP99().AsDuration().String(),
		fmt.Sprint(f.GetOldCalls()), fmt.Sprint(f.GetOldFailures()), f.GetOldP99().AsDuration().String(),
		verdict,
	}
}
