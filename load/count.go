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

// RunCounter returns a function for Options.CountRuns that sums the runs
// counted by the stand-in targets at the addresses. A target that does not
// respond or that dropped runs counts as unchecked.
func RunCounter(targets []netip.AddrPort) func(context.Context, string) (RunCounts, error) {
	return func(ctx context.Context, prefix string) (RunCounts, error) {
		total := RunCounts{Counts: map[string]int{}}
		for _, target := range targets {
			counts, err := fetchRuns(ctx, target, prefix)
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

func fetchRuns(ctx context.Context, target netip.AddrPort, prefix string) (map[string]int, error) {
	address := "http://" + target.String() + standin.PathRuns + "?prefix=" + url.QueryEscape(prefix)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build request for the runs: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request the runs of %s: %w", target, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var message standin.RunsMessage
	if err := json.NewDecoder(resp.Body).Decode(&message); err != nil {
		return nil, fmt.Errorf("decode the runs of %s: %w", target, err)
	}
	if message.Dropped > 0 {
		return nil, fmt.Errorf("target %s dropped %d runs", target, message.Dropped)
	}
	return message.Runs, nil
}
