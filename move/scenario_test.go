package move_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/move/simulation"
)

// scenarioSeeds is the number of seeds that each scenario runs with.
const scenarioSeeds = 5

type scenario struct {
	Name         string                `json:"name"`
	Deployment   string                `json:"deployment"`
	Service      string                `json:"service"`
	Prefer       string                `json:"prefer"`
	Rate         float64               `json:"rate"`
	FailureRate  float64               `json:"failing"`
	Deadline     string                `json:"deadline"`
	Hold         string                `json:"hold"`
	Fault        scenarioFault         `json:"fault"`
	Disturbances []scenarioDisturbance `json:"disturbances"`
	End          hornbeamwell.Phase    `json:"end"`
	Reason       string                `json:"reason"`
	HarmedAtMost uint64                `json:"harmed_at_most"`
}

type scenarioFault struct {
	Kind           simulation.FaultKind `json:"kind"`
	ExcessFailures float64              `json:"extra"`
	Slowdown       float64              `json:"slowdown"`
	Onset          string               `json:"onset"`
	Routes         []string             `json:"routes"`
	Zone           string               `json:"zone"`
	AboveShare     hornbeamwell.Share   `json:"above_share"`
	CrashEvery     string               `json:"crash_every"`
}

type scenarioDisturbance struct {
	Kind      simulation.DisturbanceKind `json:"kind"`
	At        string                     `json:"at"`
	Duration  string                     `json:"for"`
	Magnitude float64                    `json:"size"`
}

func TestScenarios(t *testing.T) {
	hornbeamwell.PanicOnViolation.Store(true)
	for _, s := range readScenarios(t) {
		t.Run(strings.ReplaceAll(s.Name, " ", "_"), func(t *testing.T) {
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				outcome := simulation.RunCase(move.DefaultPolicy(), s.toCase(t, seed))
				s.check(t, seed, &outcome)
			}
		})
	}
}

func (s *scenario) check(t *testing.T, seed uint64, outcome *simulation.Outcome) {
	t.Helper()
	got := fmt.Sprintf("seed %d: %s after %v, %d calls harmed: %s", seed, outcome.Move.Phase, outcome.Move.EndedAt.Sub(outcome.Move.AcceptedAt), outcome.Harmed, outcome.Move.Reason)
	if outcome.Move.Phase != s.End || !strings.Contains(outcome.Move.Reason, s.Reason) {
		t.Errorf("%s; want %s: %s", got, s.End, s.Reason)
	}
	if s.End == hornbeamwell.PhaseDone && outcome.Move.EndedAt.After(outcome.Move.Deadline) {
		t.Errorf("%s; want an end by the deadline", got)
	}
	if s.HarmedAtMost > 0 && outcome.Harmed > s.HarmedAtMost {
		t.Errorf("%s; want at most %d harmed calls", got, s.HarmedAtMost)
	}
}

func readScenarios(t *testing.T) []scenario {
	t.Helper()
	body, err := os.ReadFile("testdata/scenarios.json")
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []scenario{}
	if err := json.Unmarshal(body, &scenarios); err != nil {
		t.Fatal(err)
	}
	return scenarios
}

func (s *scenario) toCase(t *testing.T, seed uint64) simulation.Case {
	t.Helper()
	d := s.deployment(t)
	i := slices.IndexFunc(d.Services, func(service simulation.Service) bool { return service.Name == s.Service })
	c := simulation.Case{
		Seed: seed, Service: d.Services[i], Zones: d.Zones, Prefer: d.Prefer,
		Rate: s.Rate, FailureRate: s.FailureRate, LatencyFactor: 1, PropagationDelay: 2 * time.Second,
		Deadline: duration(t, s.Deadline), Hold: duration(t, s.Hold),
		Fault: simulation.Fault{
			Kind: s.Fault.Kind, ExcessFailures: s.Fault.ExcessFailures, Slowdown: s.Fault.Slowdown, Onset: duration(t, s.Fault.Onset),
			Routes: s.Fault.Routes, Zone: s.Fault.Zone, AboveShare: s.Fault.AboveShare, CrashEvery: duration(t, s.Fault.CrashEvery),
		},
	}
	if s.Prefer != "" {
		c.Prefer = hornbeamwell.Preference(s.Prefer)
	}
	for _, d := range s.Disturbances {
		c.Disturbances = append(c.Disturbances, simulation.Disturbance{Kind: d.Kind, At: duration(t, d.At), Duration: duration(t, d.Duration), Magnitude: d.Magnitude})
	}
	return c
}

func (s *scenario) deployment(t *testing.T) simulation.Deployment {
	t.Helper()
	for _, d := range simulation.Deployments() {
		if d.Name == s.Deployment {
			return d
		}
	}
	t.Fatalf("no deployment %q", s.Deployment)
	return simulation.Deployment{}
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
