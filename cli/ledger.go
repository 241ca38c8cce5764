package cli

import (
	"context"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/instance"
	"github.com/hornbeamwell/hornbeamwell/ledger"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

const (
	flagFolder     = "folder"
	flagAcceptLoss = "accept-loss"
)

func ledgerCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "ledger",
		Usage: "inspect the data folder of a stopped control instance, or recover from it",
		Commands: []*urfave.Command{
			{
				Name:  "inspect",
				Usage: "print the last entry and the members of a data folder without changing it",
				Flags: []urfave.Flag{&urfave.StringFlag{Name: flagFolder, Usage: "data `FOLDER`", Required: true}},
				Action: func(_ context.Context, cmd *urfave.Command) error {
					if _, err := arguments(cmd); err != nil {
						return err
					}
					state, err := ledger.Inspect(cmd.String(flagFolder))
					return printState(cmd, state, err)
				},
			},
			{
				Name:  "recover",
				Usage: "make a stopped control instance the only voter after the permanent loss of a quorum",
				Description: "Entries that only the lost instances accepted are lost. Choose the survivor whose\n" +
					"'ledger inspect' shows the highest term, then the highest index. Start the others from empty\n" +
					"folders afterwards and add them with 'member add'.",
				Flags: []urfave.Flag{
					settingsFlag(),
					&urfave.BoolFlag{Name: flagAcceptLoss, Usage: "confirm that entries of the lost instances may be lost", Required: true},
				},
				Action: recoverLedger,
			},
		},
	}
}

func recoverLedger(_ context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	if !cmd.Bool(flagAcceptLoss) {
		return &UsageError{Problem: "--" + flagAcceptLoss + " is false; nothing was changed"}
	}
	path := cmd.String(flagSettings)
	s, err := settings.Load(path)
	if err != nil {
		return fmt.Errorf("%s:\n%w", path, err)
	}
	self, err := ownMember(s)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	state, err := ledger.Recover(s.Control.DataFolder, self, catalog.New(instance.ControlMove))
	return printState(cmd, state, err)
}

// ownMember returns the member of control.members that has the id of this instance.
func ownMember(s settings.Settings) (settings.Member, error) {
	if s.Control != nil {
		for _, m := range s.Control.Members {
			if m.ID == s.Instance {
				return m, nil
			}
		}
	}
	return settings.Member{}, &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{
		{Field: "control", Problem: "has no member with the id of this instance; give the settings of the survivor"},
	}}
}

// stateOutput is the JSON form of a ledger.PersistentState.
type stateOutput struct {
	Cluster   string         `json:"cluster"`
	LastIndex uint64         `json:"last_index"`
	LastTerm  uint64         `json:"last_term"`
	Members   []memberOutput `json:"members"`
}

type memberOutput struct {
	ID       string `json:"id"`
	Identity string `json:"identity"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Role     string `json:"role"`
}

func printState(cmd *urfave.Command, state ledger.PersistentState, err error) error {
	if err != nil {
		return err
	}
	output := stateOutput{Cluster: state.Cluster, LastIndex: state.LastIndex, LastTerm: state.LastTerm}
	for _, m := range state.Members {
		output.Members = append(output.Members, memberOutput{
			ID: m.ID, Identity: m.Identity, Zone: m.Zone, Address: m.Address.String(), Role: string(m.Role),
		})
	}
	return printValue(cmd, output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "cluster %s, last entry %d of term %d\n\n", output.Cluster, output.LastIndex, output.LastTerm)
		rows := make([][]string, 0, len(output.Members))
		for _, m := range output.Members {
			rows = append(rows, []string{m.ID, m.Zone, m.Address, m.Role, m.Identity})
		}
		printTable(w, "MEMBER ZONE ADDRESS ROLE IDENTITY", rows)
	})
}
