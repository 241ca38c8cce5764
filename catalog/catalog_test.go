package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// controlTakeBack is a ControlFunc that supports only MoveTakeBack.
func controlTakeBack(c Command, m hornbeamwell.Move) (hornbeamwell.Move, error) {
	if c.Control != hornbeamwell.MoveTakeBack {
		return m, errors.New("unknown control")
	}
	m.Phase = hornbeamwell.PhaseTakingBack
	m.Share = 0
	return m, nil
}

func testService(name string) hornbeamwell.Service {
	return hornbeamwell.Service{Name: name, Versions: []hornbeamwell.TargetVersion{
		{Name: "v1", Share: hornbeamwell.FullShare},
		{Name: "v2"},
	}}
}

func testRoute(name, service string) hornbeamwell.Route {
	return hornbeamwell.Route{
		Name: name, PathPrefix: "/" + name, Service: service, Class: hornbeamwell.ClassInteractive,
		Timeout: time.Second, MaxBodyBytes: 1, MaxAttempts: 1,
	}
}

func mustApply(t interface{ Fatalf(string, ...any) }, c *Catalog, index uint64, command Command) Outcome {
	data, err := EncodeCommand(command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	outcome, err := DecodeOutcome(c.Apply(index, data))
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	return outcome
}

func changeCommand(request string) Command {
	return Command{
		Kind: KindChange, RequestID: request, At: start, RequestDigest: 1,
		Change: Change{Resources: Resources{
			Services: []hornbeamwell.Service{testService("ledger")},
			Routes:   []hornbeamwell.Route{testRoute("credit", "ledger")},
		}},
	}
}

func TestResendReturnsFirstOutcome(t *testing.T) {
	c := New(controlTakeBack)
	first := mustApply(t, c, 1, changeCommand("a"))
	mustApply(t, c, 2, Command{Kind: KindChange, RequestID: "b", At: start})
	again := changeCommand("a")
	again.At = start.Add(time.Minute)
	resent := mustApply(t, c, 3, again)
	if resent.Version != first.Version || resent.Err != nil {
		t.Fatalf("resend returned %+v, the first outcome was %+v", resent, first)
	}
	if c.Configuration().Version != 2 {
		t.Fatalf("the resend changed the configuration to version %d", c.Configuration().Version)
	}
}

func TestReusedRequestIDIsRefused(t *testing.T) {
	c := New(controlTakeBack)
	mustApply(t, c, 1, changeCommand("a"))
	got := mustApply(t, c, 2, Command{Kind: KindChange, RequestID: "a", RequestDigest: 2, At: start})
	if !errors.Is(got.Err, hornbeamwell.ErrNotRun) {
		t.Fatalf("the reused request ID got %v, want a refusal", got.Err)
	}
}

func TestConcurrentWritesHaveOneWinner(t *testing.T) {
	c := New(controlTakeBack)
	expected := hornbeamwell.ConfigVersion(0)
	one, two := changeCommand("a"), changeCommand("b")
	one.ExpectedVersion, two.ExpectedVersion = &expected, &expected
	if got := mustApply(t, c, 5, one); got.Err != nil {
		t.Fatalf("the first writer was refused: %v", got.Err)
	}
	got := mustApply(t, c, 6, two)
	var conflict *hornbeamwell.ConflictError
	if !errors.As(got.Err, &conflict) || conflict.Current != 5 {
		t.Fatalf("the second writer got %v, want a conflict with version 5", got.Err)
	}
}

func TestEveryFaultIsListed(t *testing.T) {
	c := New(controlTakeBack)
	bad := changeCommand("a")
	bad.Change.Services = append(bad.Change.Services, hornbeamwell.Service{
		Name: "Bad Name", ColdStart: -1, ColdRate: -1, HealthPath: "health",
	})
	bad.Change.Routes = append(bad.Change.Routes, testRoute("credit", "missing"))
	bad.Change.Routes[1].Timeout = 0
	got := mustApply(t, c, 1, bad)
	var invalid *hornbeamwell.InvalidError
	if !errors.As(got.Err, &invalid) {
		t.Fatalf("a change with faults got %v, want an InvalidError", got.Err)
	}
	fields := map[string]bool{}
	for _, f := range invalid.Faults {
		fields[f.Field] = true
	}
	want := []string{
		"services[1].name", "services[1].versions", "services[1].cold_start", "services[1].cold_rate", "services[1].health_path",
		"routes[1].name", "routes[1].service", "routes[1]", "routes[1].timeout",
	}
	for _, field := range want {
		if !fields[field] {
			t.Errorf("no fault for %s; got %v", field, invalid)
		}
	}
	if c.Configuration().Version != 0 {
		t.Error("a refused command changed the configuration")
	}
}

func startCommand(request string) Command {
	return Command{Kind: KindStartMove, RequestID: request, At: start, Move: hornbeamwell.Move{
		Service: "ledger", To: "v2", Deadline: start.Add(time.Hour), Hold: time.Minute, Prefer: hornbeamwell.PreferSafety,
	}}
}

func TestFinalMoveNeverChanges(t *testing.T) {
	c := New(controlTakeBack)
	mustApply(t, c, 1, changeCommand("a"))
	started := mustApply(t, c, 2, startCommand("m"))
	if started.Err != nil {
		t.Fatalf("start: %v", started.Err)
	}
	second := mustApply(t, c, 3, startCommand("n"))
	if !errors.Is(second.Err, hornbeamwell.ErrNotRun) {
		t.Fatalf("a second open move of a service was accepted")
	}
	done := *started.Move
	done.Step++
	done.Phase, done.Share, done.EndedAt = hornbeamwell.PhaseDone, hornbeamwell.FullShare, start.Add(time.Minute)
	if got := mustApply(t, c, 4, Command{Kind: KindStepMove, At: start, Move: done}); got.Err != nil {
		t.Fatalf("step: %v", got.Err)
	}
	back := done
	back.Step++
	back.Phase = hornbeamwell.PhaseTakenBack
	if got := mustApply(t, c, 5, Command{Kind: KindStepMove, At: start, Move: back}); !errors.Is(got.Err, ErrStaleStep) {
		t.Fatalf("a final move was stepped: %v", got.Err)
	}
	takeBack := Command{Kind: KindControlMove, RequestID: "t", At: start, Move: hornbeamwell.Move{ID: done.ID}, Control: hornbeamwell.MoveTakeBack}
	if got := mustApply(t, c, 6, takeBack); !errors.Is(got.Err, hornbeamwell.ErrNotRun) {
		t.Fatalf("a final move was taken back: %v", got.Err)
	}
	service, _ := c.Configuration().Service("ledger")
	if v, _ := service.Version("v2"); v.Share != hornbeamwell.FullShare {
		t.Fatalf("v2 has the share %d after done", v.Share)
	}
}

// TestReplicasAgree applies random commands to two catalogs, one of which is
// restored from its snapshot at random points. Outcomes and snapshots must be
// identical, and a final move must never change.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := New(controlTakeBack), New(controlTakeBack)
		finals := map[string]hornbeamwell.Move{}
		for index := uint64(1); index < 40; index++ {
			command := drawCommand(t, one)
			data, err := EncodeCommand(command)
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			if a, b := one.Apply(index, data), two.Apply(index, data); string(a) != string(b) {
				t.Fatalf("outcomes differ: %s and %s", a, b)
			}
			if rapid.Bool().Draw(t, "restart") {
				two = restarted(t, two, index)
			}
			if a, b := snapshotOf(t, one), snapshotOf(t, two); string(a) != string(b) {
				t.Fatalf("replicas differ at %d: %s and %s", index, a, b)
			}
			checkFinals(t, one, finals)
		}
	})
}

func checkFinals(t *rapid.T, c *Catalog, finals map[string]hornbeamwell.Move) {
	for _, m := range c.Moves() {
		if before, ended := finals[m.ID]; ended && !reflect.DeepEqual(before, m) {
			t.Fatalf("final move changed from %+v to %+v", before, m)
		}
		if m.Phase.IsFinal() {
			finals[m.ID] = m
		}
	}
}

func snapshotOf(t *rapid.T, c *Catalog) []byte {
	data, err := c.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return data
}

func restarted(t *rapid.T, c *Catalog, index uint64) *Catalog {
	next := New(controlTakeBack)
	if err := next.Restore(index, snapshotOf(t, c)); err != nil {
		t.Fatalf("restore: %v", err)
	}
	return next
}

func drawCommand(t *rapid.T, c *Catalog) Command {
	request := fmt.Sprintf("r%d", rapid.IntRange(0, 15).Draw(t, "request"))
	var command Command
	switch rapid.SampledFrom([]Kind{KindChange, KindStartMove, KindControlMove, KindStepMove, KindStartEvacuation, KindEndEvacuation}).Draw(t, "kind") {
	case KindChange:
		command = changeCommand(request)
	case KindStartMove:
		command = startCommand(request)
	case KindControlMove:
		command = Command{Kind: KindControlMove, RequestID: request, Control: hornbeamwell.MoveTakeBack}
		command.Move.ID = drawMove(t, c).ID
	case KindStartEvacuation:
		command = Command{Kind: KindStartEvacuation, Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")}
	case KindEndEvacuation:
		command = Command{Kind: KindEndEvacuation, Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")}
	case KindStepMove:
		m := drawMove(t, c)
		m.Step++
		m.Phase = rapid.SampledFrom([]hornbeamwell.Phase{
			hornbeamwell.PhaseStages, hornbeamwell.PhaseDone, hornbeamwell.PhaseTakenBack,
		}).Draw(t, "phase")
		command = Command{Kind: KindStepMove, Move: m}
	default:
		t.Fatalf("unexpected command kind")
	}
	command.At = start
	if rapid.Bool().Draw(t, "expects") {
		expected := c.Configuration().Version
		command.ExpectedVersion = &expected
	}
	return command
}

func drawMove(t *rapid.T, c *Catalog) hornbeamwell.Move {
	moves := c.Moves()
	if len(moves) == 0 {
		return hornbeamwell.Move{ID: "none"}
	}
	return moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]
}
