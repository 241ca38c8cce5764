package simulation

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/move"
)

// plotFolderVariable is the environment variable with the folder to write the plots
// to. If it is empty, they are not written.
const plotFolderVariable = "HORNBEAMWELL_PLOT_FOLDER"

func TestPlot(t *testing.T) {
	d := PenneAmiche()
	c := Case{
		Seed: 1, Service: d.Services[3], Zones: d.Zones, Prefer: d.Prefer, Rate: 200, FailureRate: 0.001, LatencyFactor: 1,
		Proxies: 20, PropagationDelay: 2 * time.Second, Deadline: 3 * time.Minute, Hold: 30 * time.Second,
	}
	bad := c
	bad.Fault = Fault{Kind: FailsUnderLoad, ExcessFailures: 0.05, AboveShare: 1000}
	plots := map[string]Case{"move_good.svg": c, "move_bad.svg": bad}
	titles := map[string]string{
		"move_good.svg": "A good version, 200 calls/s, deadline 180 s",
		"move_bad.svg":  "A version that fails 5% more calls above a share of 10%",
	}
	for name, c := range plots {
		outcome := RunCase(move.DefaultPolicy(), c)
		t.Log(name, outcome.Move.Phase, outcome.Move.EndedAt.Sub(epoch), outcome.Harmed, outcome.Move.Reason)
		var b bytes.Buffer
		if err := Plot(&b, titles[name], &outcome); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(b.Bytes(), []byte("<svg")) {
			t.Errorf("%s is not an SVG file", name)
		}
		if folder := os.Getenv(plotFolderVariable); folder != "" {
			if err := os.WriteFile(filepath.Join(folder, name), b.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}
