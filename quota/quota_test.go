package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// world is a set of proxies with a network that loses, delays and duplicates messages.
// Its checker is the rule: the calls let through within any window, over all proxies.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	nodes  []*worldNode
	events eventQueue
	teams  []*worldTeam
	faulty bool
	// zonesStayWhole makes the proxies of a zone that is cut off reach each other.
	zonesStayWhole bool
	nextID         int
	quotas         map[string]hornbeamwell.Quota
	request        int
}

type worldTeam struct {
	name     string
	usual    float64
	hotUntil time.Time
	heat     float64
	// limits are the quotas in the order of their acceptance.
	limits []acceptedLimit
	let    []time.Time
	// bucket is the token bucket of an owner that never fails, emptyAt the last time at
	// which it had no token for a call.
	bucket                       float64
	filledAt, emptyAt            time.Time
	offered, refused, underLimit int
	// cutOff is the part of underLimit at proxies that were cut off for over 3 s. The rule
	// leaves them only the reserve.
	cutOff  int
	largest float64
}

type acceptedLimit struct {
	at    time.Time
	quota hornbeamwell.Quota
}

type worldNode struct {
	w                               *world
	name                            string
	entry                           *Entry
	owner                           *Owner
	ring                            *Ring
	generation                      int
	isUp                            bool
	frozenUntil, cutUntil, cutSince time.Time
	// zoneCutUntil is the end of the last cut of the whole zone.
	zoneCutUntil time.Time
	members      []string
	quotas       map[string]hornbeamwell.Quota
	waiting      map[string][]*bool
	wakeAt       time.Time
	downSince    time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

func (w *world) span(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// at runs the function at the node after the time, later while the node is frozen and not
// at all once it is another process.
func (n *worldNode) at(d time.Duration, do func()) {
	generation := n.generation
	var attempt func()
	attempt = func() {
		switch {
		case n.generation != generation || !n.isUp:
		case n.w.now.Before(n.frozenUntil):
			n.w.after(n.frozenUntil.Sub(n.w.now)+time.Millisecond, attempt)
		default:
			do()
		}
	}
	n.w.after(d, attempt)
}

func (n *worldNode) start() {
	n.generation++
	n.isUp, n.cutUntil, n.frozenUntil, n.wakeAt = true, time.Time{}, time.Time{}, time.Time{}
	n.ring, n.waiting = &Ring{}, map[string][]*bool{}
	n.w.nextID++
	n.entry = NewEntry(fmt.Sprint(n.name, "-", n.w.nextID), DefaultBounds(), n.w.random)
	n.owner = NewOwner(n.entry.id, DefaultBounds())
	n.quotas = n.w.quotas
	n.apply()
}

func (n *worldNode) apply() {
	n.ring.SetMembers(n.members)
	owned := map[string]hornbeamwell.Quota{}
	for team, quota := range n.quotas {
		if n.ring.Owner(team) == n.name {
			owned[team] = quota
		}
	}
	n.owner.Update(n.w.now, owned)
	n.entry.Update(n.w.now, n.quotas, n.ring, n.name)
	n.pump()
}

// pump sends what is due and decides on the waiting calls.
func (n *worldNode) pump() {
	if n.entry.IsIsolated(n.w.now) {
		n.owner.SetLost(n.w.now)
	}
	n.owner.SetCutOff(n.w.now, n.entry.IsCutOff(n.w.now))
	for _, batch := range n.entry.Next(n.w.now) {
		n.send(batch)
	}
	for _, name := range slices.Sorted(maps.Keys(n.waiting)) {
		calls := n.waiting[name]
		var rest []*bool
		for _, decided := range calls {
			if *decided {
				continue
			}
			if decision := n.entry.Resolve(n.w.now, name); decision.Verdict == VerdictWait {
				rest = append(rest, decided)
			} else {
				*decided = true
				n.w.record(n, name, decision)
			}
		}
		if len(rest) == 0 {
			delete(n.waiting, name)
			continue
		}
		n.waiting[name] = rest
	}
	at, isNeeded := n.entry.NextAt(n.w.now)
	if isNeeded && (n.wakeAt.IsZero() || at.Before(n.wakeAt)) {
		n.wakeAt = at
		n.at(max(at.Sub(n.w.now), time.Millisecond), func() { n.wakeAt = time.Time{}; n.pump() })
	}
}

// send delivers the batch and its reply with the faults of the network.
func (n *worldNode) send(batch Batch) {
	n.w.request++
	sequence := batch.Request.Sequence
	n.at(100*time.Millisecond, func() { n.entry.Fail(n.w.now, batch.Owner, sequence); n.pump() })
	var owner *worldNode
	for _, other := range n.w.nodes {
		if other.name == batch.Owner {
			owner = other
		}
	}
	deliver := func(reply Reply) {
		n.at(n.w.delay(), func() {
			if n.w.isConnected(n, owner) && n.entry.Receive(n.w.now, batch.Owner, reply) {
				n.pump()
			}
		})
	}
	copies := 1
	if n.w.faulty && n.w.random.IntN(50) == 0 {
		copies = n.w.random.IntN(3)
	}
	for range copies {
		owner.at(n.w.delay(), func() {
			if n.w.isConnected(n, owner) {
				owner.owner.SetCutOff(n.w.now, owner.entry.IsCutOff(n.w.now))
				deliver(owner.owner.Serve(n.w.now, batch.Request))
			}
		})
	}
}

func (w *world) delay() time.Duration {
	if w.faulty && w.random.IntN(50) == 0 {
		return w.span(time.Millisecond, 300*time.Millisecond)
	}
	return w.span(time.Millisecond, 3*time.Millisecond)
}

func (w *world) isConnected(a, b *worldNode) bool {
	if w.zonesStayWhole && w.now.Before(a.zoneCutUntil) && w.now.Before(b.zoneCutUntil) {
		return true
	}
	return a == b || !w.now.Before(a.cutUntil) && !w.now.Before(b.cutUntil)
}

func (n *worldNode) cut(until time.Time) {
	if !n.w.now.Before(n.cutUntil) {
		n.cutSince = n.w.now
	}
	n.cutUntil = until
}

// call offers a call of the team at a random live proxy.
func (w *world) call(team *worldTeam) {
	node := w.nodes[w.random.IntN(len(w.nodes))]
	if !node.isUp || w.now.Before(node.frozenUntil) {
		return
	}
	quota := team.limits[len(team.limits)-1].quota
	team.offered++
	team.bucket = min(team.bucket+quota.PerSecond*w.now.Sub(team.filledAt).Seconds(), max(quota.Burst, 1))
	team.filledAt = w.now
	if team.bucket--; team.bucket < 0 {
		team.bucket, team.emptyAt = 0, w.now
	}
	decision := node.entry.Take(w.now, team.name)
	if decision.Verdict == VerdictWait {
		decided := new(bool)
		node.waiting[team.name] = append(node.waiting[team.name], decided)
		node.at(100*time.Millisecond, func() {
			if !*decided {
				*decided = true
				w.record(node, team.name, node.entry.Cancel(w.now, team.name))
			}
		})
	} else {
		w.record(node, team.name, decision)
	}
	node.pump()
}

// record checks the rule at each call that is let through. A lowered limit binds one
// window after the 2 s within which a configuration is in force.
func (w *world) record(node *worldNode, name string, decision Decision) {
	var team *worldTeam
	for _, t := range w.teams {
		if t.name == name {
			team = t
		}
	}
	if decision.Verdict == VerdictRefuse {
		team.refused++
		if w.now.Sub(team.emptyAt) > 5*time.Second {
			team.underLimit++
			if w.now.Before(node.cutUntil) && w.now.Sub(node.cutSince) > aloneTime {
				team.cutOff++
			}
		}
		return
	}
	bounds := DefaultBounds()
	team.let = append(team.let, w.now)
	for w.now.Sub(team.let[0]) >= bounds.Window {
		team.let = team.let[1:]
	}
	allowed := 0.0
	for i, limit := range team.limits {
		if i+1 == len(team.limits) || w.now.Sub(team.limits[i+1].at) < bounds.Window+2*time.Second {
			allowed = max(allowed, bounds.Limit(limit.quota))
		}
	}
	team.largest = max(team.largest, float64(len(team.let))/allowed)
	if float64(len(team.let)) > allowed {
		w.t.Fatalf("%d calls of team %s within %s, allowed %.0f", len(team.let), name, bounds.Window, allowed)
	}
}

// listedTime is the time for which the lists contain a proxy that is gone.
const listedTime = 2 * time.Second

// publish sends the members to all connected proxies within a second.
func (w *world) publish() {
	var members []string
	for _, n := range w.nodes {
		isGone := !n.isUp || w.now.Before(n.frozenUntil) || w.now.Before(n.cutUntil)
		if !isGone {
			n.downSince = time.Time{}
		} else if n.downSince.IsZero() {
			n.downSince = w.now
		}
		if !isGone || w.now.Sub(n.downSince) < listedTime {
			members = append(members, n.name)
		}
	}
	quotas, at := w.quotas, w.now
	for _, n := range w.nodes {
		if w.now.Before(n.cutUntil) {
			continue
		}
		isListed := n.downSince.IsZero()
		n.at(w.span(0, time.Second), func() {
			if !w.now.Before(n.cutUntil) {
				n.members, n.quotas = members, quotas
				if isListed {
					n.entry.SetListed(at.Add(listedTime))
				}
				n.apply()
			}
		})
	}
}

func (w *world) fault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(5) {
	case 0:
		n.isUp = false
		w.after(w.span(100*time.Millisecond, 6*time.Second), n.start)
	case 1:
		n.frozenUntil = w.now.Add(w.span(50*time.Millisecond, 5*time.Second))
	case 2:
		n.cut(w.now.Add(w.span(100*time.Millisecond, 8*time.Second)))
	case 3:
		// A whole zone is cut.
		until := w.now.Add(w.span(time.Second, 6*time.Second))
		for i := range len(w.nodes) / 3 {
			w.nodes[i].cut(until)
			w.nodes[i].zoneCutUntil = until
		}
	default:
		team := w.teams[w.random.IntN(len(w.teams))]
		quota := quotaFor(team.usual * (0.5 + w.random.Float64()))
		team.limits = append(team.limits, acceptedLimit{w.now, quota})
		quotas := map[string]hornbeamwell.Quota{}
		for _, t := range w.teams {
			quotas[t.name] = t.limits[len(t.limits)-1].quota
		}
		w.quotas = quotas
	}
}

func quotaFor(usual float64) hornbeamwell.Quota {
	return hornbeamwell.Quota{PerSecond: 1.6 * usual, Burst: usual}
}

func (w *world) run(proxies int, length time.Duration) {
	w.now = time.Unix(1000, 0)
	w.quotas = map[string]hornbeamwell.Quota{}
	for i, usual := range []float64{200, 60, 14, 2} {
		team := &worldTeam{name: fmt.Sprint("team-", i), usual: usual, filledAt: w.now, emptyAt: w.now}
		team.limits = []acceptedLimit{{w.now, quotaFor(usual)}}
		w.teams, w.quotas[team.name] = append(w.teams, team), quotaFor(usual)
	}
	members := make([]string, 0, proxies)
	for i := range proxies {
		members = append(members, fmt.Sprint("proxy-", i))
	}
	for _, name := range members {
		w.nodes = append(w.nodes, &worldNode{w: w, name: name, members: members})
	}
	for _, n := range w.nodes {
		n.start()
	}
	end := w.now.Add(length)
	for w.now.Before(end) {
		w.tick()
	}
}

// tick advances the time by a millisecond.
func (w *world) tick() {
	w.now = w.now.Add(time.Millisecond)
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		heap.Pop(&w.events).(event).do()
	}
	for _, team := range w.teams {
		if team.hotUntil.Before(w.now) && w.random.IntN(20_000) == 0 {
			team.hotUntil, team.heat = w.now.Add(w.span(5*time.Second, 7*time.Second)), 5+2*w.random.Float64()
		}
		rate := team.usual
		if w.now.Before(team.hotUntil) {
			rate *= team.heat
		}
		for rate *= 0.001; rate > 0 && w.random.Float64() < rate; rate-- {
			w.call(team)
		}
	}
	if w.faulty && w.random.IntN(2000) == 0 {
		w.fault()
	}
	if w.now.UnixMilli()%500 == 0 {
		w.publish()
	}
}

// freshSeeds is the environment variable with the number of seeds that are drawn in place
// of those of testdata/seeds.txt.
const freshSeeds = "HORNBEAMWELL_QUOTA_FRESH_SEEDS"

// seeds returns the first seeds of testdata/seeds.txt, or fresh ones if the environment asks
// for them.
func seeds(t *testing.T, count int) []uint64 {
	t.Helper()
	if text := os.Getenv(freshSeeds); text != "" {
		fresh, err := strconv.Atoi(text)
		if err != nil || fresh < 1 {
			t.Fatalf("%s is %q, want a number above 0", freshSeeds, text)
		}
		drawn := make([]uint64, fresh)
		for i := range drawn {
			drawn[i] = rand.Uint64()
		}
		return drawn
	}
	content, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	var listed []uint64
	for line := range strings.Lines(string(content)) {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		seed, err := strconv.ParseUint(line, 10, 64)
		if err != nil {
			t.Fatalf("testdata/seeds.txt: %v", err)
		}
		listed = append(listed, seed)
	}
	if len(listed) < count {
		t.Fatalf("testdata/seeds.txt has %d seeds, want %d", len(listed), count)
	}
	return listed[:count]
}

// play plays the courses of the seeds, each of which checks the rule, and returns the share
// of the calls that were refused under the limit. It leaves out calls at proxies that were
// cut off for over 3 s, to which the rule leaves only the reserve.
func play(t *testing.T, faulty, zonesStayWhole bool, seeds []uint64) float64 {
	t.Helper()
	var mu sync.Mutex
	largest, offered, underLimit, cutOff, requests := 0.0, 0, 0, 0, 0
	t.Run("courses", func(t *testing.T) {
		for _, seed := range seeds {
			t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
				t.Parallel()
				w := &world{t: t, random: rand.New(rand.NewPCG(seed, 0)), faulty: faulty, zonesStayWhole: zonesStayWhole}
				w.run(12, time.Minute)
				mu.Lock()
				defer mu.Unlock()
				for _, team := range w.teams {
					largest = max(largest, team.largest)
					offered, underLimit, cutOff = offered+team.offered, underLimit+team.underLimit, cutOff+team.cutOff
				}
				requests += w.request
			})
		}
	})
	share := float64(underLimit-cutOff) / float64(offered)
	t.Logf("%d courses, largest window %.3f of the bound, %.4f refused under the limit, %.4f more at proxies cut off for over 3 s, %d requests for %d calls",
		len(seeds), largest, share, float64(cutOff)/float64(offered), requests, offered)
	return share
}

// TestRuleHoldsUnderFaults guards against more calls of a team than its quota over all
// proxies.
func TestRuleHoldsUnderFaults(t *testing.T) {
	if testing.Short() {
		play(t, true, false, seeds(t, 6))
		return
	}
	play(t, true, false, seeds(t, 24))
}

// TestRuleHoldsWithWholeZones guards against a zone that is cut off together with the owner of
// a team, whose entries still reach it while the other zones have another owner.
func TestRuleHoldsWithWholeZones(t *testing.T) {
	play(t, true, true, seeds(t, 24))
}

// TestRuleHoldsForHotTeams guards against the same without faults, and against calls that are
// refused although the team is under its quota.
func TestRuleHoldsForHotTeams(t *testing.T) {
	if share := play(t, false, false, seeds(t, 4)); share > 0.005 {
		t.Errorf("%.4f of the calls were refused under the limit, want at most 0.005", share)
	}
}

// TestFewRefusalsUnderFaults guards against owners and entries that refuse calls of teams
// under their quota while others fail.
func TestFewRefusalsUnderFaults(t *testing.T) {
	if share := play(t, true, false, seeds(t, 16)); share > 0.05 {
		t.Errorf("%.4f of the calls were refused under the limit, want at most 0.05", share)
	}
}
