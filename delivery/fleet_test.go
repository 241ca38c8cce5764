package delivery

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

const (
	// fleetDuration is the time for which faults happen, unless longRun gives
	// another.
	fleetDuration = 6 * time.Second
	// longRun is the environment variable with a longer duration, such as 2h.
	longRun = "HORNBEAMWELL_LONG"
	// fleetProxies is the number of proxies.
	fleetProxies = 12
)

// faultyFleet is a leader, two relays behind walls, and proxies that stop and
// start.
type faultyFleet struct {
	t       *testing.T
	random  *rand.Rand
	leader  *node
	relays  []*node
	walls   []*wall
	proxies map[string]*proxy
	started int
	version int
	targets map[string]hornbeamwell.Target
}

// TestFleetUnderFaults changes configurations and targets while proxies, relays
// and connections come and go. Whenever the leader says that a version is in
// force everywhere, it is on every proxy; in the end all converge.
func TestFleetUnderFaults(t *testing.T) {
	t.Parallel()
	duration, seed := fleetDuration, uint64(1)
	if long, err := time.ParseDuration(os.Getenv(longRun)); err == nil {
		duration, seed = long, rand.Uint64()
	}
	t.Logf("seed %d", seed)
	f := startFaultyFleet(t, rand.New(rand.NewPCG(seed, 0)))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.disturb()
		f.checkClaim()
		time.Sleep(time.Duration(f.random.IntN(60)) * time.Millisecond)
	}
	f.settle()
}

func startFaultyFleet(t *testing.T, random *rand.Rand) *faultyFleet {
	f := &faultyFleet{t: t, random: random, proxies: map[string]*proxy{}, targets: map[string]hornbeamwell.Target{}}
	f.leader = startNodeWith(t, nodeOptions{id: "c1", timing: quickTiming()})
	for i := range 2 {
		w := startWall(t, f.leader.address)
		f.walls = append(f.walls, w)
		f.relays = append(f.relays, startNodeWith(t, nodeOptions{
			id: fmt.Sprintf("r%d", i), timing: quickTiming(), leaders: []netip.AddrPort{w.address},
		}))
	}
	f.configure()
	for i := range fleetProxies {
		f.startProxy(fmt.Sprintf("p%02d", i))
	}
	return f
}

func (f *faultyFleet) startProxy(id string) {
	f.started++
	sources := []netip.AddrPort{f.relays[0].address, f.relays[1].address, f.leader.address}
	f.proxies[id] = startProxyWith(f.t, SubscriberOptions{
		ID: id, Sources: sources, Timing: quickTiming(), Rand: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})
	f.announce(id, hornbeamwell.TargetReady, uint64(f.started))
}

func (f *faultyFleet) announce(id string, state hornbeamwell.TargetState, incarnation uint64) {
	announced := sampleTarget(id, "orders", f.targets[id].Sequence+1)
	announced.Incarnation = max(incarnation, f.targets[id].Incarnation)
	announced.State = state
	f.targets[id] = announced
	f.proxies[id].Announce(announced)
}

func (f *faultyFleet) configure() {
	f.version++
	f.leader.configure(f.t, sampleConfiguration(f.version, "orders", fmt.Sprintf("extra-%d", f.version%3)))
}

// disturb makes one random event happen.
func (f *faultyFleet) disturb() {
	id := fmt.Sprintf("p%02d", f.random.IntN(fleetProxies))
	switch f.random.IntN(8) {
	case 0, 1, 2:
		f.configure()
	case 3:
		f.announce(id, hornbeamwell.TargetDraining, 0)
	case 4:
		f.announce(id, hornbeamwell.TargetReady, f.targets[id].Incarnation+1)
	case 5:
		f.proxies[id].stop()
		waitFor(f.t, 5*time.Second, "the proxy stops", f.proxies[id].hasStopped)
		f.startProxy(id)
	case 6:
		f.walls[f.random.IntN(2)].set(f.random.IntN(2) == 0, f.random.IntN(2) == 0)
	default:
		f.walls[f.random.IntN(2)].set(false, false)
	}
}

// checkClaim compares what the leader says with the proxies that run. A proxy
// that has just started is not known yet.
func (f *faultyFleet) checkClaim() {
	c := f.leader.convergence(f.t)
	if !c.IsInForce(c.Version) || c.Live < fleetProxies {
		return
	}
	for id, p := range f.proxies {
		if held := p.state().Configuration.Version; held < c.Version && held > 0 {
			f.t.Fatalf("version %d is said to be in force everywhere, %s has %d", c.Version, id, held)
		}
	}
}

// settle ends every fault and waits until every proxy has everything.
func (f *faultyFleet) settle() {
	for _, w := range f.walls {
		w.set(false, false)
	}
	f.configure()
	waitFor(f.t, 20*time.Second, "the fleet converges", func() bool {
		return inForceOn(f.t, f.leader, hornbeamwell.ConfigVersion(f.version), fleetProxies)
	})
	for id, p := range f.proxies {
		waitFor(f.t, 10*time.Second, id+" has every target as announced last", func() bool { return f.hasTargets(p) })
	}
	waitFor(f.t, 2*proxiesInterval, "the leader lists every proxy", func() bool {
		listed := 0
		f.leader.do(f.t, func(b *blackboard.Board) { listed = len(b.Proxies) })
		return listed == fleetProxies
	})
}

func (f *faultyFleet) hasTargets(p *proxy) bool {
	for id, announced := range f.targets {
		held, found := p.target(id)
		if !found || held.Incarnation != announced.Incarnation || held.Sequence != announced.Sequence || held.State != announced.State {
			return false
		}
	}
	return true
}
