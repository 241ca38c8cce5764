package cli

import (
	"context"
	"io"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

func memberCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "member",
		Usage: "add or remove a control instance",
		Commands: []*urfave.Command{
			{
				Name:      "add",
				Usage:     "add a control instance, which first catches up as a learner",
				ArgsUsage: "ID ZONE ADDRESS",
				Flags:     commandFlags()[:1],
				Action: func(ctx context.Context, cmd *urfave.Command) error {
					args, err := arguments(cmd, "ID", "ZONE", "ADDRESS")
					if err != nil {
						return err
					}
					if _, err := parseAddresses("ADDRESS", args[2:]); err != nil {
						return err
					}
					return changeMember(ctx, cmd, "add", &schema.Member{Id: args[0], Zone: args[1], Address: args[2]})
				},
			},
			{
				Name:      "remove",
				Usage:     "remove a control instance",
				ArgsUsage: "ID",
				Flags:     commandFlags()[:1],
				Action: func(ctx context.Context, cmd *urfave.Command) error {
					id, err := argument(cmd, "ID")
					if err != nil {
						return err
					}
					return changeMember(ctx, cmd, "remove", &schema.Member{Id: id})
				},
			},
		},
	}
}

func changeMember(ctx context.Context, cmd *urfave.Command, change string, member *schema.Member) error {
	req := &schema.ChangeMemberRequest{RequestId: requestID(cmd), Change: change, Member: member}
	resp, err := call(ctx, cmd, schema.OperatorServiceClient.ChangeMember, req)
	if err != nil {
		return err
	}
	return printMessage(cmd, resp, func(w io.Writer) {
		rows := make([][]string, 0, len(resp.GetMembers()))
		for _, m := range resp.GetMembers() {
			rows = append(rows, []string{m.GetId(), m.GetZone(), m.GetAddress(), m.GetRole()})
		}
		printTable(w, "MEMBER ZONE ADDRESS ROLE", rows)
	})
}
