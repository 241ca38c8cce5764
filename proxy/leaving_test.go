package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// leavingTarget is a target that states in its responses that it is about to stop,
// once isLeaving is true. It counts its calls.
type leavingTarget struct {
	isLeaving atomic.Bool
	calls     atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *leavingTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.calls.Add(1)
	if l.isLeaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
}

// callUntil sends calls to the entry until the condition holds, for at most 5 s.
func callUntil(t *testing.T, entry string, condition func() bool) {
	t.Helper()
	for started := time.Now(); !condition(); {
		if time.Since(started) > 5*time.Second {
			t.Fatal("the condition does not hold after 5 s of calls")
		}
		call(t.Context(), http.MethodGet, entry+"/profiles/1", "", "")
	}
}

// callUntilFailure sends calls one after the other and reports the first one that is not
// served.
func callUntilFailure(t *testing.T, entry string, count int) {
	t.Helper()
	for range count {
		if got := call(t.Context(), http.MethodGet, entry+"/profiles/1", "", ""); got.status != http.StatusOK {
			t.Errorf("status %d, reason %s", got.status, got.header.Get(headerReason))
			return
		}
	}
}

// TestLeavingTargetGetsNoNewCalls guards against calls to a target that states in its
// responses that it is about to stop, and announces nothing.
func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	leaving := &leavingTarget{}
	stopped := make(chan uint64, 2)
	n := m.add("leaving", "v1", "north", leaving)
	n.proxy.options.OnTargetLeaving = func(incarnation uint64) { stopped <- incarnation }
	other := m.add("b", "v1", "north", &leavingTarget{})
	m.update()
	leaving.isLeaving.Store(true)
	before := leaving.calls.Load()
	callUntil(t, other.entry, func() bool { return leaving.calls.Load() > before })
	told := leaving.calls.Load()
	var calls sync.WaitGroup
	for _, entry := range []string{n.entry, other.entry} {
		for range 10 {
			calls.Go(func() { callUntilFailure(t, entry, 10) })
		}
	}
	calls.Wait()
	if late := leaving.calls.Load() - told; late > 0 {
		t.Errorf("%d calls reached the target after its response", late)
	}
	select {
	case incarnation := <-stopped:
		if incarnation != n.target.Incarnation || len(stopped) > 0 {
			t.Errorf("incarnation %d was reported as leaving, and %d more", incarnation, len(stopped))
		}
	default:
		t.Error("the target was not reported as leaving")
	}
}

// TestLeavingTargetIsAvoidedWithoutItsProxy guards against calls to a leaving target
// whose proxy has started again and does not know that it leaves, while the list of
// targets still calls it ready. Another incarnation of the target is used again.
func TestLeavingTargetIsAvoidedWithoutItsProxy(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	leaving := &leavingTarget{}
	address := serve(t, &http.Server{Handler: leaving, ReadHeaderTimeout: time.Second})
	exit := newSwitchedExit(t)
	exit.start(m, "leaving", address)
	entry := m.add("b", "v1", "north", &leavingTarget{})
	m.update()
	leaving.isLeaving.Store(true)
	callUntil(t, entry.entry, func() bool { return leaving.calls.Load() > 0 })
	told := leaving.calls.Load()
	reached := func() int64 {
		for range 50 {
			call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
		}
		return leaving.calls.Load() - told
	}

	m.nodes = m.nodes[1:]
	restarted := exit.start(m, "leaving", address)
	m.update()
	if late := reached(); late > 0 {
		t.Errorf("%d calls reached the target after its proxy had started again", late)
	}

	m.nodes = m.nodes[:1]
	m.update()
	entry.proxy.targetCache = targetCache{}
	m.update()
	m.nodes = append(m.nodes, restarted)
	m.update()
	if late := reached(); late > 0 {
		t.Errorf("%d calls reached the target after it had been missing from the list", late)
	}

	leaving.isLeaving.Store(false)
	restarted.target.Incarnation++
	restarted.proxy.SetLocalTarget(restarted.target, address)
	m.update()
	if reached() == 0 {
		t.Error("no call reached the next incarnation of the target")
	}
}
