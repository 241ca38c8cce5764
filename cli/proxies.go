package cli

import (
	"context"
	"io"
	"strconv"
	"time"

	urfave "github.com/urfave/cli/v3"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

func proxiesCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "proxies",
		Usage: "print the proxies and the version in force on each",
		Action: func(ctx context.Context, cmd *urfave.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			resp, err := call(ctx, cmd, schema.OperatorServiceClient.ListProxies, &schema.ListProxiesRequest{})
			if err != nil {
				return err
			}
			return printMessage(cmd, resp, func(w io.Writer) { printProxies(w, time.Now(), resp.GetProxies()) })
		},
	}
}

func printProxies(w io.Writer, now time.Time, proxies []*schema.Proxy) {
	rows := make([][]string, 0, len(proxies))
	for _, p := range proxies {
		state := "live"
		if p.GetSilent() {
			state = formatSilence(now, p.GetHeardAt())
		}
		rows = append(rows, []string{p.GetId(), p.GetZone(), p.GetAddress(), formatInForce(p), state})
	}
	printTable(w, "PROXY ZONE ADDRESS IN_FORCE STATE", rows)
}

// formatInForce formats the version in force on a proxy, or returns a dash if the
// leader has no report of it.
func formatInForce(p *schema.Proxy) string {
	if p.GetSilent() && p.GetInForce() == 0 {
		return "-"
	}
	return strconv.FormatUint(p.GetInForce(), 10)
}
