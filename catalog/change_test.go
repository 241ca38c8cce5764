package catalog

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestDiffYieldsWantedConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := &hornbeamwell.Configuration{}
		before := drawResources(t, "current")
		current.Services, current.Routes, current.Teams = before.Services, before.Routes, before.Teams
		wanted := drawResources(t, "wanted")
		change := Diff(current, wanted)
		if got := change.Result(current); fmt.Sprint(got) != fmt.Sprint(wanted) {
			t.Fatalf("the change yields %v, want %v", got, wanted)
		}
		current.Services, current.Routes, current.Teams = wanted.Services, wanted.Routes, wanted.Teams
		if again := Diff(current, wanted); !reflect.DeepEqual(again, Change{}) {
			t.Fatalf("a configuration differs from itself by %+v", again)
		}
	})
}

// drawResources returns resources sorted by name.
func drawResources(t *rapid.T, label string) Resources {
	var drawn Resources
	for i := range 6 {
		name := fmt.Sprintf("s%d", i)
		switch rapid.IntRange(0, 2).Draw(t, label) {
		case 1:
			drawn.Services = append(drawn.Services, testService(name))
			drawn.Routes = append(drawn.Routes, testRoute(name, name))
			drawn.Teams = append(drawn.Teams, hornbeamwell.Team{Name: name})
		case 2:
			changed := testRoute(name, name)
			changed.MaxAttempts = 2
			drawn.Services = append(drawn.Services, testService(name))
			drawn.Routes = append(drawn.Routes, changed)
			drawn.Teams = append(drawn.Teams, hornbeamwell.Team{Name: name, KeyHashes: []hornbeamwell.KeyHash{hornbeamwell.HashKey(name)}})
		}
	}
	return drawn
}

func TestStaleBaseIsNotStored(t *testing.T) {
	c := New(controlTakeBack)
	mustApply(t, c, 1, changeCommand("a"))
	late := changeCommand("b")
	base := hornbeamwell.ConfigVersion(0)
	late.Base = &base
	if got := mustApply(t, c, 2, late); !errors.Is(got.Err, ErrStaleBase) {
		t.Fatalf("a change computed from version 0 got %v, want ErrStaleBase", got.Err)
	}
	base = 1
	if got := mustApply(t, c, 3, late); got.Err != nil {
		t.Fatalf("the recomputed change was refused: %v", got.Err)
	}
}

func TestResendReturnsRefusal(t *testing.T) {
	c := New(controlTakeBack)
	refuse := Command{Kind: KindRefuse, RequestID: "a", RequestDigest: 1, At: start, Refusal: Outcome{Err: invalid("services", "is wrong")}}
	mustApply(t, c, 1, refuse)
	if c.Configuration().Version != 0 {
		t.Error("a refusal changed the configuration")
	}
	if got := mustApply(t, c, 2, changeCommand("a")); !errors.Is(got.Err, hornbeamwell.ErrNotRun) {
		t.Errorf("the resend got %v, want the refusal", got.Err)
	}
}

func TestRemovalOfUnknownServiceIsRefused(t *testing.T) {
	err := CheckChange(&hornbeamwell.Configuration{}, Change{RemovedServices: []string{"ledger"}})
	var invalidErr *hornbeamwell.InvalidError
	if !errors.As(err, &invalidErr) || invalidErr.Faults[0].Field != "removed_services[0]" {
		t.Fatalf("the removal got %v, want a fault of removed_services[0]", err)
	}
}
