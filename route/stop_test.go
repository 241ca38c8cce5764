package route

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestStops guards against a stopping proxy that accepts a call it can't finish, abandons
// a call that ends in time, or waits until it is killed.
func TestStops(t *testing.T) {
	t.Parallel()
	archive, err := txtar.ParseFile("testdata/stops.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			stop := Stop{Began: time.Unix(1000, 0)}
			for line := range strings.Lines(string(f.Data)) {
				fields := strings.Fields(line)
				if fields[0] == "grace" {
					stop.Grace = parseDuration(t, fields[1])
					continue
				}
				if got, want := askStop(t, stop, fields), fields[len(fields)-1]; got != want {
					t.Errorf("%v: got %s", fields, got)
				}
			}
		})
	}
}

func askStop(t *testing.T, stop Stop, fields []string) string {
	t.Helper()
	now := stop.Began.Add(parseDuration(t, fields[0]))
	switch fields[1] {
	case "accepts":
		return strconv.FormatBool(stop.AcceptsCall(now, parseDuration(t, fields[2])))
	case "starts":
		return strconv.FormatBool(stop.StartsCall(now, parseDuration(t, fields[2])))
	case "abandons":
		return strconv.FormatBool(stop.ShouldAbandon(now))
	case "sends":
		return strconv.FormatInt(stop.SendBy().Sub(now).Milliseconds(), 10) + "ms"
	case "ends":
		return strconv.FormatInt(stop.EndAt().Sub(now).Milliseconds(), 10) + "ms"
	case "exits":
		return strconv.FormatInt(stop.ExitAt().Sub(now).Milliseconds(), 10) + "ms"
	case "shutdown":
		requests, unused := stop.ShutdownLimits(now)
		return fmt.Sprintf("%d,%dms", requests.Milliseconds(), unused.Milliseconds())
	default:
		t.Fatalf("unknown question %v", fields)
		return ""
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
