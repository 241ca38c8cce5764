package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/quota"
)

// newQuotaMesh returns four proxies and the team of all calls.
func newQuotaMesh(t *testing.T, limit hornbeamwell.Quota) (*mesh, *hornbeamwell.Team) {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	m.configuration.Teams = []hornbeamwell.Team{{Name: "red", Quota: limit}}
	for _, id := range []string{"a", "b", "c", "d"} {
		m.add(id, "v1", "north", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}
	m.update()
	return m, &m.configuration.Teams[0]
}

// callAsTeam decides on a call of the team at the proxy.
func callAsTeam(n *node, team *hornbeamwell.Team) *refusal {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.proxy.takeQuota(ctx, &entryCall{team: team})
}

// quotaOwner returns the index of the proxy that owns the team.
func quotaOwner(m *mesh, team string) int {
	quotas := &m.nodes[0].proxy.quotas
	quotas.mu.Lock()
	owner := quotas.ring.Owner(team)
	quotas.mu.Unlock()
	for i, n := range m.nodes {
		if n.target.Exit.String() == owner {
			return i
		}
	}
	m.t.Fatalf("no proxy owns the team; the owner is %q", owner)
	return 0
}

// offer sends calls at the rate over the given proxies. It returns how many were let
// through and refused, and the largest number let through within any 5 s.
func offer(nodes []*node, team *hornbeamwell.Team, perSecond int, length time.Duration) (let, refused, largest int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var letAt []time.Time
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range int(length.Seconds() * float64(perSecond)) {
		<-ticker.C
		wait.Go(func() {
			isRefused := callAsTeam(nodes[i%len(nodes)], team) != nil
			mu.Lock()
			defer mu.Unlock()
			if isRefused {
				refused++
				return
			}
			letAt = append(letAt, time.Now())
		})
	}
	wait.Wait()
	slices.SortFunc(letAt, time.Time.Compare)
	for begin, end := 0, 0; end < len(letAt); end++ {
		for letAt[end].Sub(letAt[begin]) >= 5*time.Second {
			begin++
		}
		largest = max(largest, end-begin+1)
	}
	return len(letAt), refused, largest
}

// TestQuotaHoldsOverProxies guards against proxies that each grant the whole quota, and
// against calls that are refused because their entry has no token yet.
func TestQuotaHoldsOverProxies(t *testing.T) {
	limit := hornbeamwell.Quota{PerSecond: 100, Burst: 50}
	m, team := newQuotaMesh(t, limit)
	time.Sleep(1500 * time.Millisecond)
	if _, refused, _ := offer(m.nodes, team, 50, 2*time.Second); refused > 0 {
		t.Errorf("%d of 100 calls were refused at half of the limit", refused)
	}
	let, refused, largest := offer(m.nodes, team, 500, 5*time.Second)
	if most := int(quota.DefaultBounds().Limit(limit)); largest > most || let < int(5*limit.PerSecond*0.9) {
		t.Errorf("%d calls let through at five times the limit, %d within 5 s, %d refused; want 450 at least and %d at most", let, largest, refused, most)
	}
}

// TestQuotaOutlivesItsOwner guards against a team that is refused, or not limited, after
// its owner stopped, before and after the members know.
func TestQuotaOutlivesItsOwner(t *testing.T) {
	limit := hornbeamwell.Quota{PerSecond: 100, Burst: 50}
	m, team := newQuotaMesh(t, limit)
	time.Sleep(1500 * time.Millisecond)
	stopped := quotaOwner(m, team.Name)
	others := append(append([]*node{}, m.nodes[:stopped]...), m.nodes[stopped+1:]...)
	offer(others, team, 60, 2*time.Second)
	// The owner replies no more.
	m.nodes[stopped].proxy.quotas.mu.Lock()
	if let, refused, _ := offer(others, team, 60, time.Second); let < refused {
		t.Errorf("%d calls let through and %d refused while the owner was out of reach", let, refused)
	}
	m.nodes[stopped].proxy.quotas.mu.Unlock()
	m.nodes = others
	m.update()
	time.Sleep(200 * time.Millisecond)
	if let, refused, _ := offer(others, team, 60, 3*time.Second); let < 9*refused {
		t.Errorf("%d calls let through and %d refused with a new owner", let, refused)
	}
	if _, _, largest := offer(others, team, 500, 5*time.Second); largest > int(quota.DefaultBounds().Limit(limit)) {
		t.Errorf("%d calls let through within 5 s with a new owner", largest)
	}
}

// TestQuotaRefusal guards against a refusal that a caller can't tell from an overload, and
// against a refused call that reaches a target.
func TestQuotaRefusal(t *testing.T) {
	_, team := newQuotaMesh(t, hornbeamwell.Quota{PerSecond: 1})
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
	n.proxy.quotas.update(time.Now(), []hornbeamwell.Team{*team}, []quotaMember{{exit: n.target.Exit}})
	refused := callAsTeam(n, team)
	if refused == nil || refused.status != http.StatusTooManyRequests || refused.reason != ReasonQuotaExceeded ||
		refused.outcome != "not-run" || refused.retryAfter <= 0 {
		t.Errorf("a call of a team without tokens was refused with %+v", refused)
	}
}

// TestNoQuotaRunsNothing guards against timers, messages and decisions where no team has a
// quota.
func TestNoQuotaRunsNothing(t *testing.T) {
	m, team := newQuotaMesh(t, hornbeamwell.Quota{})
	for _, n := range m.nodes {
		if refused := callAsTeam(n, team); refused != nil {
			t.Errorf("a call of a team without a quota was refused: %+v", refused)
		}
		q := &n.proxy.quotas
		q.mu.Lock()
		isIdle := !q.isActive.Load() && q.wakeAt.IsZero() && len(q.members) == 0
		q.mu.Unlock()
		if !isIdle {
			t.Error("the quotas are active without a team that has one")
		}
	}
}

// TestUnsentCallReturnsItsToken guards against calls without room that use up the quota.
func TestUnsentCallReturnsItsToken(t *testing.T) {
	m, team := newQuotaMesh(t, hornbeamwell.Quota{PerSecond: 1, Burst: 1})
	n := m.nodes[quotaOwner(m, team.Name)]
	time.Sleep(1300 * time.Millisecond)
	call := &entryCall{team: team}
	if refused := n.proxy.takeQuota(t.Context(), call); refused != nil {
		t.Fatalf("the first call was refused: %+v", refused)
	}
	n.proxy.returnQuota(call, notRun(http.StatusServiceUnavailable, ReasonNoTarget, 0))
	if decision, waiter := n.proxy.quotas.take(time.Now(), team.Name); waiter != nil || decision.Verdict != quota.VerdictSpend {
		t.Errorf("the returned token was not there for the next call: %+v", decision)
	}
}

// TestOwnerLeavesWithItsTarget guards against an owner whose target drained and left, and
// whose calls other entries refuse until its missing target is forgotten; against members
// that are forgotten while a control instance that has restarted lists none; and against
// missing members that stay until another update arrives.
func TestOwnerLeavesWithItsTarget(t *testing.T) {
	m, team := newQuotaMesh(t, hornbeamwell.Quota{PerSecond: 100, Burst: 50})
	at := quotaOwner(m, team.Name)
	owner := m.nodes[at]
	others := append(append([]*node{}, m.nodes[:at]...), m.nodes[at+1:]...)
	q := &others[0].proxy.quotas
	check := func(when string, want int, ownsStill bool) {
		t.Helper()
		q.mu.Lock()
		defer q.mu.Unlock()
		if owns := q.ring.Owner(team.Name) == owner.target.Exit.String(); len(q.members) != want || owns != ownsStill {
			t.Errorf("%s: %d members, the first owner still owns: %t; want %d, %t", when, len(q.members), owns, want, ownsStill)
		}
	}
	owner.target.State, owner.target.Sequence = hornbeamwell.TargetDraining, 2
	m.update()
	check("draining", 4, true)
	m.nodes = others
	m.update()
	check("left", 3, false)

	listed := []hornbeamwell.Target{others[0].target}
	if err := others[0].proxy.Update(time.Now(), m.configuration, listed); err != nil {
		t.Fatal(err)
	}
	check("two ready targets missing", 3, false)
	q.mu.Lock()
	wakeAt, end := q.wakeAt, time.Now().Add(missingRetention)
	if wakeAt.IsZero() || wakeAt.After(end) {
		t.Errorf("the members are looked at again at %v, want a time until %v", wakeAt, end)
	}
	q.pump(end)
	q.mu.Unlock()
	check("retention over", 1, false)
}

// TestFewMissingTargetsHaveLeft guards against the membership of proxies whose target
// deregistered without draining, and against members that are dropped because a control
// instance that has restarted lists few targets.
func TestFewMissingTargetsHaveLeft(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	var all []hornbeamwell.Target
	for i := range 16 {
		exit := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
		all = append(all, hornbeamwell.Target{ID: exit.String(), Exit: exit, State: hornbeamwell.TargetReady})
	}
	for _, test := range []struct{ listed, want int }{{16, 16}, {15, 15}, {14, 14}, {13, 16}, {1, 16}, {0, 16}} {
		var cache targetCache
		cache.merge(now, all)
		cache.merge(now.Add(time.Second), all[:test.listed])
		if got := len(cache.quotaMembers()); got != test.want {
			t.Errorf("%d of 16 targets listed: %d members, want %d", test.listed, got, test.want)
		}
	}
}
