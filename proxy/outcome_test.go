package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestRefusalAfterLostRunIsNotCalledNotRun sends calls that may be repeated to a
// target that runs each and breaks the connection, and to one whose proxy refuses
// them. No call that was run may be answered with a status that promises that it was
// not, in whichever order the two are tried.
func TestRefusalAfterLostRunIsNotCalledNotRun(t *testing.T) {
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	var runs atomic.Int64
	entry := m.add("a", "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	draining := m.add("b", "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the draining target ran a call")
	}))
	m.update()
	state := draining.target
	state.State, state.Sequence = hornbeamwell.TargetDraining, state.Sequence+1
	draining.proxy.SetLocalTarget(state, draining.appAddress)
	refusedAfterRun := 0
	for range 40 {
		before := runs.Load()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		got := call(ctx, http.MethodGet, entry.entry+"/profiles/1", "", "")
		cancel()
		hasRun := runs.Load() > before
		promisesNotRun := got.status == http.StatusServiceUnavailable || got.header.Get(headerOutcome) == "not-run"
		if hasRun && promisesNotRun {
			t.Fatalf("status %d, outcome %q, reason %q for a call that ran", got.status, got.header.Get(headerOutcome), got.header.Get(headerReason))
		}
		if hasRun {
			refusedAfterRun++
		}
	}
	if refusedAfterRun == 0 {
		t.Error("no call ran, so nothing was checked")
	}
}
