package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/console"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const flagVersion = "version"

func statusCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "status",
		Usage: "print the leader, the members and how far the current version is in force",
		Flags: []urfave.Flag{
			waitFlag("wait until the version is in force everywhere, or until --timeout"),
			&urfave.Uint64Flag{Name: flagVersion, Usage: "`VERSION` to wait for (default: the current one)"},
		},
		Action: status,
	}
}

func status(ctx context.Context, cmd *urfave.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	ctx, cancel, client, err := connectOperator(ctx, cmd)
	if err != nil {
		return err
	}
	defer cancel()
	resp, err := console.Call(ctx, client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
	for err == nil && cmd.Bool(flagWait) && !isInForce(resp, cmd.Uint64(flagVersion)) && sleep(ctx, pollInterval) {
		var next *schema.GetStatusResponse
		next, err = console.Call(ctx, client, schema.OperatorServiceClient.GetStatus, &schema.GetStatusRequest{})
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
	if err := printMessage(cmd, resp, func(w io.Writer) { printStatus(w, time.Now(), resp) }); err != nil {
		return err
	}
	if cmd.Bool(flagWait) && !isInForce(resp, cmd.Uint64(flagVersion)) {
		return &WaitTimeoutError{Pending: fmt.Sprintf("version %d is not in force everywhere: %s",
			max(resp.GetVersion(), cmd.Uint64(flagVersion)), pendingReason(resp))}
	}
	return nil
}

// isInForce reports whether the version is in force on every proxy. Version 0 stands
// for the current one.
func isInForce(resp *schema.GetStatusResponse, version uint64) bool {
	if version == 0 {
		return resp.GetInForceEverywhere()
	}
	return resp.GetWatermark() >= version && resp.GetSilentProxies() == 0
}

// pendingReason describes why a version is not in force everywhere.
func pendingReason(resp *schema.GetStatusResponse) string {
	if resp.GetWatermark() == 0 && len(resp.GetBehind()) == 0 && resp.GetSilentProxies() == 0 {
		return "the leader is new and has no report of the proxies yet"
	}
	return fmt.Sprintf("%d proxies behind, %d silent", len(resp.GetBehind()), resp.GetSilentProxies())
}

func printStatus(w io.Writer, now time.Time, resp *schema.GetStatusResponse) {
	leader := resp.GetLeader()
	if leader == "" {
		leader = "none known"
	}
	_, _ = fmt.Fprintf(w, "leader     %s (term %d), answered by %s\n", leader, resp.GetTerm(), resp.GetInstance())
	_, _ = fmt.Fprintf(w, "version    %d\n", resp.GetVersion())
	everywhere := "everywhere"
	if !resp.GetInForceEverywhere() {
		everywhere = "not everywhere"
	}
	_, _ = fmt.Fprintf(w, "in force   %s (watermark %d, %d live proxies, %d silent)\n", everywhere, resp.GetWatermark(), resp.GetLiveProxies(), resp.GetSilentProxies())
	if !resp.GetInForceEverywhere() {
		_, _ = fmt.Fprintf(w, "waits for  %s\n", pendingReason(resp))
	}
	members := make([][]string, 0, len(resp.GetMembers()))
	for _, m := range resp.GetMembers() {
		members = append(members, []string{m.GetId(), m.GetZone(), m.GetAddress(), m.GetRole(), m.GetState()})
	}
	_, _ = fmt.Fprintf(w, "losses     %d control instances may be lost now\n", resp.GetToleratedLosses())
	if evacuations := resp.GetEvacuations(); len(evacuations) > 0 {
		_, _ = fmt.Fprintf(w, "evacuated  %s\n", formatEvacuations(evacuations))
	}
	_, _ = fmt.Fprintln(w)
	printTable(w, "MEMBER ZONE ADDRESS ROLE STATE", members)
	if len(resp.GetTeams()) > 0 {
		_, _ = fmt.Fprintln(w)
		printTeamSummaries(w, resp.GetTeams())
	}
	lagging := append(resp.GetBehind(), resp.GetSilent()...)
	if len(lagging) > 0 {
		_, _ = fmt.Fprintln(w)
		printProxies(w, now, lagging)
	}
}

func printTeamSummaries(w io.Writer, teams []*schema.TeamSummary) {
	rows := make([][]string, 0, len(teams))
	for _, t := range teams {
		rows = append(rows, []string{t.GetName(), strconv.Itoa(int(t.GetKeys())), strconv.Itoa(int(t.GetPriority()))})
	}
	printTable(w, "TEAM KEYS PRIORITY", rows)
}
