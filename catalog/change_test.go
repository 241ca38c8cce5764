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
		current.Services, current.Routes = drawConfiguration(t, "current")
		services, routes := drawConfiguration(t, "wanted")
		change := Diff(current, services, routes)
		gotServices, gotRoutes := change.Result(current)
		if fmt.Sprint(gotServices) != fmt.Sprint(services) || fmt.Sprint(gotRoutes) != fmt.Sprint(routes) {
			t.Fatalf("the change yields the services %v and routes %v, want %v and %v", gotServices, gotRoutes, services, routes)
		}
		current.Services, current.Routes = services, routes
		if again := Diff(current, services, routes); !reflect.DeepEqual(again, Change{}) {
			t.Fatalf("a configuration differs from itself by %+v", again)
		}
	})
}

// drawConfiguration returns services and routes sorted by name.
func drawConfiguration(t *rapid.T, label string) ([]hornbeamwell.Service, []hornbeamwell.Route) {
	var services []hornbeamwell.Service
	var routes []hornbeamwell.Route
	for i := range 6 {
		name := fmt.Sprintf("s%d", i)
		switch rapid.IntRange(0, 2).Draw(t, label) {
		case 1:
			services = append(services, testService(name))
			routes = append(routes, testRoute(name, name))
		case 2:
			changed := testRoute(name, name)
			changed.MaxAttempts = 2
			services = append(services, testService(name))
			routes = append(routes, changed)
		}
	}
	return services, routes
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
