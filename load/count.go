package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

// RunCounter returns a count of runs that adds up what the stand-in targets at the
// addresses counted.
func RunCounter(targets []netip.AddrPort) func(context.Context, string) (Runs, error) {
	return func(ctx context.Context, prefix string) (Runs, error) {
		total := Runs{Counts: map[string]int{}}
		for _, target := range targets {
			counts, err := askRuns(ctx, target, prefix)
			if err != nil {
				total.Unchecked++
				continue
			}
			for id, n := range counts {
				total.Counts[id] += n
			}
		}
		return total, ctx.Err()
	}
}

func askRuns(ctx context.Context, target netip.AddrPort, prefix string) (map[string]int, error) {
	address := "http://" + target.String() + standin.PathRuns + "?prefix=" + url.QueryEscape(prefix)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build question: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s for its runs: %w", target, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var message standin.RunsMessage
	if err := json.NewDecoder(resp.Body).Decode(&message); err != nil {
		return nil, fmt.Errorf("read the runs of %s: %w", target, err)
	}
	if message.Dropped > 0 {
		return nil, fmt.Errorf("%s dropped %d runs", target, message.Dropped)
	}
	return message.Runs, nil
}
