package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

func getCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "get",
		Usage: "print the current configuration",
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			resp, err := call(ctx, cmd, schema.OperatorServiceClient.Get, &schema.GetRequest{})
			if err != nil {
				return err
			}
			configuration := resp.GetConfiguration()
			// The document of a platform's operators may hold API keys.
			configuration.Document = nil
			return printMessage(cmd, configuration, func(w io.Writer) { printConfiguration(w, configuration) })
		},
	}
}

func printConfiguration(w io.Writer, c *schema.Configuration) {
	_, _ = fmt.Fprintf(w, "version %d\n", c.GetVersion())
	services := make([][]string, 0, len(c.GetServices()))
	for _, s := range c.GetServices() {
		versions := make([]string, 0, len(s.GetVersions()))
		for _, v := range s.GetVersions() {
			versions = append(versions, v.GetName()+" "+formatShare(v.GetShare()))
		}
		services = append(services, []string{s.GetName(), strings.Join(versions, ", ")})
	}
	_, _ = fmt.Fprintln(w)
	printTable(w, "SERVICE VERSIONS", services)
	routes := make([][]string, 0, len(c.GetRoutes()))
	for _, r := range c.GetRoutes() {
		routes = append(routes, routeRow(r))
	}
	_, _ = fmt.Fprintln(w)
	printTable(w, "ROUTE MATCH SERVICE KIND CLASS TIMEOUT", routes)
	if len(c.GetTeams()) > 0 {
		_, _ = fmt.Fprintln(w)
		printTeams(w, c.GetTeams())
	}
	if len(c.GetMoves()) > 0 {
		_, _ = fmt.Fprintln(w)
		printMoves(w, c.GetMoves())
	}
}

// printTeams prints the teams with the number of their keys.
func printTeams(w io.Writer, teams []*schema.Team) {
	rows := make([][]string, 0, len(teams))
	for _, t := range teams {
		quota := "none"
		if t.GetCallsPerSecond() > 0 {
			quota = fmt.Sprintf("%g/s, burst %g", t.GetCallsPerSecond(), t.GetBurst())
		}
		rows = append(rows, []string{t.GetName(), strconv.Itoa(len(t.GetKeyHashes())), strconv.Itoa(int(t.GetPriority())), quota})
	}
	printTable(w, "TEAM KEYS PRIORITY QUOTA", rows)
}

func routeRow(r *schema.Route) []string {
	match := r.GetHost() + r.GetPathPrefix()
	if methods := r.GetMethods(); len(methods) > 0 {
		match = strings.Join(methods, ",") + " " + match
	}
	kind := "non-idempotent"
	if r.GetIdempotent() {
		kind = "idempotent"
	}
	return []string{r.GetName(), match, r.GetService(), kind, r.GetClass(), r.GetTimeout().AsDuration().String()}
}
