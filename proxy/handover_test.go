package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestHandoverHoldersAreAgreedOn checks that a proxy that stops and the next one ask
// the same proxies while other targets come and go.
func TestHandoverHoldersAreAgreedOn(t *testing.T) {
	local := hornbeamwell.Target{ID: "t-7", Service: "letters"}
	const services, size = 2, 300
	targets := make([]hornbeamwell.Target, 0, size)
	for i := range size {
		targets = append(targets, hornbeamwell.Target{ID: fmt.Sprintf("t-%d", i), Service: []string{"letters", "other"}[i%services]})
	}
	targets[7].Service = "letters"
	before := handoverTargets(local, targets)
	if len(before) != handoverHolders {
		t.Fatalf("%d holders, want %d", len(before), handoverHolders)
	}
	remaining := slices.DeleteFunc(slices.Clone(targets), func(target hornbeamwell.Target) bool { return target.ID == before[0].ID })
	slices.Reverse(remaining)
	after := handoverTargets(local, remaining)
	for _, target := range before[1:] {
		if !slices.Contains(after, target) {
			t.Errorf("%s is no holder any more after another target left", target.ID)
		}
	}
	for _, target := range after {
		if target.ID == local.ID || target.Service != local.Service {
			t.Errorf("%+v may not hold the records of %+v", target, local)
		}
	}
}

// TestStartOfFleetAsksFewForHandovers starts a proxy of a service with many targets
// whose proxies have no records for it, as at the first start of a fleet. The number of
// its requests must not grow with the service.
func TestStartOfFleetAsksFewForHandovers(t *testing.T) {
	const others = 40
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	var requests atomic.Int64
	targets := make([]hornbeamwell.Target, 0, others)
	for i := range others {
		address := serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			w.Header().Set(headerHandover, r.Header.Get(headerHandover))
			w.WriteHeader(http.StatusNotFound)
		})})
		targets = append(targets, hornbeamwell.Target{
			ID: fmt.Sprintf("other-%d", i), Service: "letters", Version: "v1", Zone: "north", Exit: address,
			Slots: 1, Connections: 1, Incarnation: 1, Sequence: 1, State: hornbeamwell.TargetReady,
		})
	}
	p := New(Options{Instance: "new", Zone: "north"})
	t.Cleanup(func() { p.peers.retain(nil) })
	local := hornbeamwell.Target{
		ID: "new", Service: "letters", Version: "v1", Zone: "north", Exit: serve(t, p.ExitServer()),
		Slots: 1, Connections: 1, Incarnation: 1, Sequence: 1, State: hornbeamwell.TargetReady,
	}
	if err := p.Update(time.Now(), m.configuration, append(targets, local)); err != nil {
		t.Fatal(err)
	}
	p.SetLocalTarget(local, serve(t, &http.Server{ReadHeaderTimeout: time.Second}))
	time.Sleep((handoverAbsentRounds + 2) * handoverRetryDelay)
	if got := requests.Load(); got == 0 || got > handoverHolders*handoverAbsentRounds {
		t.Errorf("%d requests for records, want 1 to %d", got, handoverHolders*handoverAbsentRounds)
	}
}
