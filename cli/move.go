package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

func moveCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "move",
		Usage: "move the calls of a service to another version",
		Commands: []*urfave.Command{
			moveStartCommand(),
			moveStatusCommand(),
			moveListCommand(),
			moveControlCommand("pause", hornbeamwell.MovePause, "keep the share of the new version"),
			moveControlCommand("resume", hornbeamwell.MoveResume, "continue a paused move"),
			moveControlCommand("hasten", hornbeamwell.MoveHasten, "go to the next stage before its time"),
			moveControlCommand("take-back", hornbeamwell.MoveTakeBack, "return every call to the old version"),
		},
	}
}

func moveListCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "list",
		Usage: "print the ended moves, then the open ones, each newest last",
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			resp, err := call(ctx, cmd, schema.OperatorServiceClient.ListMoves, &schema.ListMovesRequest{})
			if err != nil {
				return err
			}
			return printMessage(cmd, resp, func(w io.Writer) { printMoves(w, resp.GetMoves()) })
		},
	}
}

// moveControlCommand returns the command that sends one control to a move.
func moveControlCommand(name string, control hornbeamwell.MoveControl, usage string) *urfave.Command {
	return &urfave.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "MOVE",
		Flags:     commandFlags()[:1],
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			id, err := argument(cmd, "MOVE")
			if err != nil {
				return err
			}
			req := &schema.ControlMoveRequest{RequestId: requestID(cmd), Id: id, Control: string(control)}
			resp, err := call(ctx, cmd, schema.OperatorServiceClient.ControlMove, req)
			if err != nil {
				return err
			}
			return printMessage(cmd, resp, func(w io.Writer) { printMove(w, resp.GetMove()) })
		},
	}
}

func printMoves(w io.Writer, moves []*schema.Move) {
	rows := make([][]string, 0, len(moves))
	for _, m := range moves {
		rows = append(rows, []string{m.GetId(), m.GetService(), m.GetFrom(), m.GetTo(), phaseText(m), formatShare(m.GetShare()), formatTime(m.GetDeadline()), m.GetReason()})
	}
	printTable(w, "MOVE SERVICE FROM TO PHASE SHARE DEADLINE REASON", rows)
}

func phaseText(m *schema.Move) string {
	if m.GetPaused() {
		return m.GetPhase() + " (paused)"
	}
	return m.GetPhase()
}
