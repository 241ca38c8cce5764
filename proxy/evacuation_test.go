package proxy

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// evacuationProxy returns a proxy without a target of its own, and the targets with the
// versions of each zone. Each target has the id zone-version.
func evacuationProxy(t *testing.T, versions map[string][]string) (*Proxy, []hornbeamwell.Target) {
	t.Helper()
	p := New(Options{Instance: "entry", Zone: "north"})
	p.SetShareLease(time.Now().Add(time.Hour))
	t.Cleanup(func() { p.peers.retain(nil) })
	var targets []hornbeamwell.Target
	for zone, names := range versions {
		for _, version := range names {
			targets = append(targets, hornbeamwell.Target{
				ID: zone + "-" + version, Service: "letters", Version: version, Zone: zone, Slots: 10,
				Exit: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9+len(targets))), Incarnation: uint64(len(version)), State: hornbeamwell.TargetReady,
			})
		}
	}
	return p, targets
}

// picked returns the zones and versions to which calls with and without a key would be
// sent.
func picked(p *Proxy) map[string]int {
	found := map[string]int{}
	table := p.table.Load()
	for i := range 300 {
		call := &entryCall{rule: table.Rules[i%2], service: table.services["letters"]}
		if i%2 == 1 {
			call.key = strconv.Itoa(i)
		}
		if c := p.pick(call); c != nil {
			found[c.ID]++
		}
	}
	return found
}

// TestEntryLeavesOutEvacuatedTargets guards against calls that an entry sends to an
// exit of an evacuated zone, which would refuse them: of a canary, whose calls go to the
// old version meanwhile, and of an open service without shares, which is not moved to
// another version by an evacuation.
func TestEntryLeavesOutEvacuatedTargets(t *testing.T) {
	t.Parallel()
	move := hornbeamwell.Move{ID: "m", Service: "letters", From: "v1", To: "v2", Phase: hornbeamwell.PhaseStages, Share: 5000}
	shares := []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}, {Name: "v2"}}
	both := map[string][]string{"north": {"v1", "v2"}, "south": {"v1"}}
	for name, c := range map[string]struct {
		versions  map[string][]string
		evacuated []string
		moves     []hornbeamwell.Move
		isOpen    bool
		want      []string
	}{
		"none":               {both, nil, nil, false, []string{"north-v1"}},
		"one zone":           {both, []string{"north"}, nil, false, []string{"south-v1"}},
		"all zones":          {both, []string{"north", "south"}, nil, false, nil},
		"unknown zone":       {both, []string{"east"}, nil, false, []string{"north-v1"}},
		"canary":             {both, nil, []hornbeamwell.Move{move}, false, []string{"north-v1", "north-v2"}},
		"canary evacuated":   {both, []string{"north"}, []hornbeamwell.Move{move}, false, []string{"south-v1"}},
		"incumbent":          {map[string][]string{"north": {"v1"}, "south": {"v22"}}, nil, nil, true, []string{"north-v1"}},
		"incumbent replaced": {map[string][]string{"north": {"v1"}, "south": {"v22"}}, []string{"north"}, nil, true, []string{"south-v22"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			configuration := standardConfiguration(shares...)
			if c.isOpen {
				configuration = standardConfiguration()
				configuration.Services[0].IsOpen = true
			}
			configuration.Moves = c.moves
			p, targets := evacuationProxy(t, c.versions)
			update := func(zones []string) map[string]int {
				configuration.Version++
				configuration.Evacuations = nil
				for _, zone := range zones {
					configuration.Evacuations = append(configuration.Evacuations, hornbeamwell.Evacuation{Zone: zone})
				}
				if err := p.Update(time.Now(), configuration, targets); err != nil {
					t.Fatal(err)
				}
				return picked(p)
			}
			before := update(nil)
			got := update(c.evacuated)
			for _, id := range c.want {
				if got[id] == 0 {
					t.Errorf("no call for %s: %v", id, got)
				}
			}
			for id := range got {
				for _, zone := range c.evacuated {
					if id[:len(zone)] == zone {
						t.Errorf("calls for %s in an evacuated zone: %v", id, got)
					}
				}
			}
			for id := range update(nil) {
				if before[id] == 0 {
					t.Errorf("calls for %s after the end, before the start for %v", id, before)
				}
			}
		})
	}
}

// TestEvacuatedExitCostsNoRetry guards against a call that is lost, or takes from the
// retry budget, because an exit refused it while its zone was evacuated.
func TestEvacuatedExitCostsNoRetry(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	entry := m.add("a", "v1", "north", http.NotFoundHandler())
	m.update()
	table := entry.proxy.table.Load()
	service := table.services["letters"]
	for service.budget.Withdraw() {
		// The budget is spent before the calls.
	}
	call := &entryCall{rule: table.Rules[0], state: table.rules[table.Rules[0]], service: service, deadline: time.Now().Add(time.Second), sends: 1, attempts: 2}
	if !entry.proxy.mayRetry(t.Context(), call, notRun(http.StatusServiceUnavailable, ReasonEvacuated, 0)) {
		t.Error("the refusal of an evacuated exit was not followed by another attempt")
	}
	if entry.proxy.mayRetry(t.Context(), call, notRun(http.StatusServiceUnavailable, ReasonOverloaded, 0)) {
		t.Error("another refusal was followed by an attempt without a budget")
	}
	if call.service.budget.HasRetry() || !route.MayRetry(call.rule, call.sends, route.OutcomeNotRun, time.Second) {
		t.Error("the budget or the rule of the test does not fit")
	}
}

// TestKeyedCallsWhileEvacuationsChange guards against a call with a key that is refused
// as unknown, or crashes its exit, because an evacuation ends while the exit refuses it.
func TestKeyedCallsWhileEvacuationsChange(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	entry := m.add("a", "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	m.update()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
			next := *m.configuration
			next.Version++
			if next.Evacuations == nil {
				next.Evacuations = []hornbeamwell.Evacuation{{Zone: "north"}}
			} else {
				next.Evacuations = nil
			}
			m.configuration = &next
			if err := entry.proxy.Update(time.Now(), &next, []hornbeamwell.Target{entry.target}); err != nil {
				t.Error(err)
			}
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stopped:
			return
		default:
		}
		got := call(t.Context(), http.MethodPost, entry.entry+"/pairings/1", strconv.Itoa(i), "x")
		if reason := got.header.Get(headerReason); got.status != http.StatusOK && (got.status != http.StatusServiceUnavailable || reason != string(ReasonEvacuated)) {
			t.Fatalf("call %d: status %d, reason %s, error %v", i, got.status, reason, got.err)
		}
	}
}

// TestTargetThatLeftWhileACallRanIsNotTriedAgain guards against a connection that is closed
// without a response: an evacuation and the loss of the call's target come into force
// between two attempts, and a crash ends the call.
func TestTargetThatLeftWhileACallRanIsNotTriedAgain(t *testing.T) {
	t.Parallel()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	entry := m.add("a", "v1", "north", http.NotFoundHandler())
	entry.target.Exit = serveTCP(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 4096))
		next := *m.configuration
		next.Version++
		next.Evacuations = []hornbeamwell.Evacuation{{Zone: "south"}}
		other := entry.target
		other.ID, other.Zone = "b", "south"
		for _, missingFor := range []time.Duration{0, missingRetention} {
			if err := entry.proxy.Update(time.Now().Add(missingFor), &next, []hornbeamwell.Target{other}); err != nil {
				t.Error(err)
			}
		}
	})
	m.update()
	got := call(t.Context(), http.MethodGet, entry.entry+"/profiles/1", "", "")
	if got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("status %d, reason %s, error %v, want 502", got.status, got.header.Get(headerReason), got.err)
	}
}
