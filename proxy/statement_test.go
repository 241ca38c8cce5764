package proxy

import (
	"bytes"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestStatementsOfTargetAreLogged guards against a rate limit or a coming stop that a
// target states and that no line of its proxy shows.
func TestStatementsOfTargetAreLogged(t *testing.T) {
	var mu sync.Mutex
	header := http.Header{}
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		for name, values := range header {
			w.Header()[name] = values
		}
	})
	var lines lineBuffer
	n.proxy.options.Logger = log.NewLogfmtLogger(&lines)
	for _, step := range []struct {
		header http.Header
		// calls is the number of calls, 0 for one.
		calls int
		want  string
	}{
		{header: http.Header{headerRateLimit: {"26.7"}}, want: "event=rate_limit_changed call= target= incarnation=1 per_second=26.7 before=none"},
		{header: http.Header{headerRateLimit: {"many"}}, want: "event=rate_limit_invalid"},
		{header: http.Header{headerRateLimit: {"5"}}, want: "per_second=5 before=26.7"},
		{header: http.Header{}, calls: 2, want: "per_second=none before=5"},
		{header: http.Header{headerLeaving: {"1"}}, want: "event=target_states_leaving"},
	} {
		mu.Lock()
		header = step.header
		mu.Unlock()
		for range max(step.calls, 1) {
			call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
		}
		if got := lines.take(); !strings.Contains(got, step.want) {
			t.Errorf("no line with %q among:\n%s", step.want, got)
		}
	}
}

// TestPaceReachesEntry guards against a pace that does not reach the entry proxy, that
// is used after its time, or that changes the replies about targets without one.
func TestPaceReachesEntry(t *testing.T) {
	header := http.Header{}
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
	})
	paceAfter := func(load string) (pace float64, sent http.Header) {
		header = http.Header{headerLoad: {load}}
		call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
		sent = http.Header{}
		setStatementHeaders(time.Now(), sent, n.proxy.local.Load())
		for _, u := range n.proxy.upstreams {
			pace = u.load.Pace(time.Now())
		}
		return pace, sent
	}
	for _, load := range []string{"3,1,12", "3,1,12,soon"} {
		if pace, sent := paceAfter(load); pace != 1 || len(sent) != 0 {
			t.Errorf("load %q: the entry has the pace %v, the exit sends %v", load, pace, sent)
		}
	}
	paceAfter("3,1,12,100")
	if pace, sent := paceAfter("3,1,12,150"); math.Abs(pace-1.463) > 0.001 || len(sent) != 1 {
		t.Errorf("the entry has the pace %v, the exit sends %v", pace, sent)
	}
	time.Sleep(route.PaceLifetime)
	sent := http.Header{}
	setStatementHeaders(time.Now(), sent, n.proxy.local.Load())
	for _, u := range n.proxy.upstreams {
		if pace := u.load.Pace(time.Now()); pace != 1 || len(sent) != 0 {
			t.Errorf("after its time, the entry has the pace %v, the exit sends %v", pace, sent)
		}
	}
}

// TestOrderOfQueue guards against a queue that is ordered by objective where nothing asks
// for it, or by callers where the configuration has teams or the target states its pace.
func TestOrderOfQueue(t *testing.T) {
	for name, c := range map[string]struct {
		load     string
		teams    []hornbeamwell.Team
		expected bool
	}{
		"neither": {load: "3,1,12"},
		"pace":    {load: "3,1,12,100", expected: true},
		"teams":   {load: "3,1,12", teams: []hornbeamwell.Team{{Name: "a"}}, expected: true},
	} {
		configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
		configuration.Teams = c.teams
		m := newMesh(t, configuration)
		n := m.add("a", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header()[headerLoad] = []string{c.load} }))
		m.update()
		call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
		gate := n.proxy.local.Load().gate
		gate.mu.Lock()
		if got := gate.admission.OrdersByObjective; got != c.expected {
			t.Errorf("%s: the order by objective is %v", name, got)
		}
		gate.mu.Unlock()
	}
}

// lineBuffer collects the lines of a logger.
type lineBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// take returns the lines since the last call.
func (b *lineBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.lines.String()
	b.lines.Reset()
	return taken
}
