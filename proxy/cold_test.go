package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	coldPerSecond = 10
	// coldBound is the number of calls that a cold target tolerates in any second.
	coldBound = coldPerSecond*3/2 + 8
)

// coldConfiguration returns a configuration whose service has a cold rate. Its targets are
// cold for a minute after their start.
func coldConfiguration() *hornbeamwell.Configuration {
	c := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
	c.Services[0].ColdStart, c.Services[0].ColdRate, c.Services[0].HealthPath = time.Minute, coldPerSecond, "/health"
	return c
}

// maxPerSecond returns the highest number of calls within any second.
func (l *limitedTarget) maxPerSecond() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, end := 0, 0
	for begin, first := range l.arrivals {
		for end < len(l.arrivals) && l.arrivals[end].Sub(first) < time.Second {
			end++
		}
		most = max(most, end-begin)
	}
	return most
}

// addLimited adds a node whose target records its calls. Its health endpoint does not
// exist.
func addLimited(t *testing.T, m *mesh, id, zone string) (*limitedTarget, *node) {
	t.Helper()
	target := &limitedTarget{perSecond: -1, work: 10 * time.Millisecond}
	mux := http.NewServeMux()
	mux.Handle("/", target)
	mux.HandleFunc("/health", http.NotFound)
	return target, m.add(id, "v1", zone, mux)
}

// TestColdZoneUnderPeakLoad guards against an overrun of the cold targets of a whole zone
// by the entries of that zone, against refusals while another zone has room, and against
// load that does not return once the targets are warm. It runs alone: its load would delay
// tests that measure times, and it counts with a metric of the process.
func TestColdZoneUnderPeakLoad(t *testing.T) {
	m := newMesh(t, coldConfiguration())
	cold, entries := make([]*limitedTarget, 0, 2), make([]string, 0, 2)
	for _, id := range []string{"a", "b"} {
		target, n := addLimited(t, m, id, "north")
		cold, entries = append(cold, target), append(entries, n.entry)
	}
	for _, id := range []string{"c", "d"} {
		_, n := addLimited(t, m, id, "south")
		n.proxy.SetColdRemaining(1, 0)
	}
	m.update()
	for _, n := range m.nodes[2:] {
		n.proxy.SetColdRemaining(1, 0)
	}
	refusedBefore := coldRefused.Get()
	result := offerCalls(t, entries, 150, 3*time.Second)
	for i, target := range cold {
		if got := target.maxPerSecond(); got > coldBound {
			t.Errorf("%d calls within a second at cold target %d, want at most %d", got, i, coldBound)
		}
		if got := target.arrivalsSince(time.Time{}); got < coldPerSecond*3/2 {
			t.Errorf("%d calls in 3 s at cold target %d, which takes %d a second", got, i, coldPerSecond)
		}
	}
	if result.other > 0 {
		t.Errorf("%d of %d calls were not served, although another zone has room", result.other, result.other+result.served)
	}
	t.Logf("%d calls refused by cold targets, %d and %d ran there, at most %d and %d within a second", coldRefused.Get()-refusedBefore,
		cold[0].arrivalsSince(time.Time{}), cold[1].arrivalsSince(time.Time{}), cold[0].maxPerSecond(), cold[1].maxPerSecond())
	warm := time.Now()
	for _, n := range m.nodes[:2] {
		n.proxy.SetColdRemaining(1, 0)
	}
	offerCalls(t, entries, 150, 2*time.Second)
	if got := cold[0].arrivalsSince(warm) + cold[1].arrivalsSince(warm); got < 200 {
		t.Errorf("%d of 300 calls returned to the zone after its targets became warm", got)
	}
}

// TestSuccessorTakesTargetForCold guards against a burst at a cold target whose proxy is
// replaced by a new process under load, once without and once with a planned stop. The new
// process has no configuration yet, while the entries that send calls have one. It runs
// alone, since its load would delay tests that measure times.
func TestSuccessorTakesTargetForCold(t *testing.T) {
	m := newMesh(t, coldConfiguration())
	target := &limitedTarget{perSecond: -1, work: time.Millisecond}
	address := serve(t, &http.Server{Handler: target, ReadHeaderTimeout: time.Second})
	exit := newSwitchedExit(t)
	exit.start(m, "cold", address)
	entry := m.add("b", "v1", "north", http.NotFoundHandler())
	entry.target.State = hornbeamwell.TargetDraining
	m.update()
	offered := make(chan *loadResult)
	go func() { offered <- offerCalls(t, []string{entry.entry}, 100, 4*time.Second) }()
	time.Sleep(1300 * time.Millisecond)
	second := exit.start(m, "cold", address)
	time.Sleep(1300 * time.Millisecond)
	stopping := second.target
	stopping.State, stopping.Sequence = hornbeamwell.TargetDraining, 2
	second.proxy.SetLocalTarget(stopping, address)
	third := exit.start(m, "cold", address)
	<-offered
	if got := target.maxPerSecond(); got > coldBound {
		t.Errorf("%d calls within a second at the cold target, want at most %d", got, coldBound)
	}
	if got := target.arrivalsSince(time.Time{}); got < 3*coldPerSecond {
		t.Errorf("%d calls in 4 s at a cold target that takes %d a second", got, coldPerSecond)
	}
	if perSecond, _ := third.proxy.local.Load().gate.coldRate(time.Now()); perSecond != coldPerSecond {
		t.Errorf("the proxy that started last has the cold rate %v", perSecond)
	}
}

// TestHealthRequests guards against health requests in steady state, against a target that
// stays cold although it states that it is warm, and against one that counts as warm at the
// end of an evacuation although its health endpoint fails.
func TestHealthRequests(t *testing.T) {
	t.Parallel()
	var requests, remaining atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		if remaining.Load() < 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set(headerColdMs, strconv.FormatInt(remaining.Load(), 10))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	m := newMesh(t, coldConfiguration())
	n := m.add("a", "v1", "north", mux)
	coldFor := func() time.Duration {
		_, left := n.proxy.local.Load().gate.coldRate(time.Now())
		return left
	}
	await := func(what string, done func() bool) {
		t.Helper()
		for until := time.Now().Add(3 * time.Second); !done(); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s: cold for %s after %d health requests", what, coldFor(), requests.Load())
			}
		}
	}
	m.update()
	await("start", func() bool { return requests.Load() == 1 && coldFor() == 0 })
	evacuate := func(zones ...hornbeamwell.Evacuation) {
		t.Helper()
		m.configuration = coldConfiguration()
		m.configuration.Version = n.proxy.table.Load().Version + 1
		m.configuration.Evacuations = zones
		m.update()
	}
	evacuate(hornbeamwell.Evacuation{Zone: "south"})
	evacuate()
	evacuate(hornbeamwell.Evacuation{Zone: "north"})
	remaining.Store(-1)
	evacuate()
	await("end with a failure", func() bool { return requests.Load() == 2 })
	time.Sleep(50 * time.Millisecond)
	if got := coldFor(); got < 50*time.Second {
		t.Errorf("cold for %s after a failed health request, want about 1m", got)
	}
	evacuate(hornbeamwell.Evacuation{Zone: "north"})
	remaining.Store(2000)
	evacuate()
	await("end", func() bool { return requests.Load() == 3 && coldFor() > 0 && coldFor() <= 2*time.Second })
	m.update()
	time.Sleep(50 * time.Millisecond)
	if got := requests.Load(); got != 3 {
		t.Errorf("%d health requests, want 3", got)
	}
}
