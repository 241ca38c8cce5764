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
	// fleetDuration is the duration of the faults unless longRunEnv sets
	// another.
	fleetDuration = 6 * time.Second
	// longRunEnv is the environment variable with a longer duration, such as
	// 2h.
	longRunEnv = "HORNBEAMWELL_LONG"
	// fleetProxies is the number of proxies.
	fleetProxies = 12
)

// faultyFleet consists of a leader, two relays behind faulty links, and proxies
// that stop and start.
type faultyFleet struct {
	t       *testing.T
	random  *rand.Rand
	leader  *node
	relays  []*node
	links   []*faultyLink
	proxies map[string]*proxy
	started int
	version int
	targets map[string]hornbeamwell.Target
}

// TestFleetUnderFaults changes configurations and targets while proxies restart
// and the connections between the relays and the leader are cut and restored.
// Whenever the leader reports a version as in force everywhere, every proxy that
// has a configuration must have it. After the faults all proxies must converge.
func TestFleetUnderFaults(t *testing.T) {
	t.Parallel()
	duration, seed := fleetDuration, uint64(1)
	if long, err := time.ParseDuration(os.Getenv(longRunEnv)); err == nil {
		duration, seed = long, rand.Uint64()
	}
	t.Logf("seed %d", seed)
	f := startFaultyFleet(t, rand.New(rand.NewPCG(seed, 0)))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.injectFault()
		f.checkWatermark()
		time.Sleep(time.Duration(f.random.IntN(60)) * time.Millisecond)
	}
	f.settle()
}

func startFaultyFleet(t *testing.T, random *rand.Rand) *faultyFleet {
	f := &faultyFleet{t: t, random: random, proxies: map[string]*proxy{}, targets: map[string]hornbeamwell.Target{}}
	f.leader = startNodeWith(t, nodeOptions{id: "c1", timing: fastTiming()})
	for i := range 2 {
		l := startFaultyLink(t, f.leader.address)
		f.links = append(f.links, l)
		f.relays = append(f.relays, startNodeWith(t, nodeOptions{
			id: fmt.Sprintf("r%d", i), timing: fastTiming(), leaders: []netip.AddrPort{l.address},
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
		ID: id, Sources: sources, Timing: fastTiming(), Rand: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
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

// injectFault causes one random event.
func (f *faultyFleet) injectFault() {
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
		f.links[f.random.IntN(2)].setCut(f.random.IntN(2) == 0, f.random.IntN(2) == 0)
	default:
		f.links[f.random.IntN(2)].setCut(false, false)
	}
}

// checkWatermark compares the leader's report with the running proxies. It
// skips a proxy without a configuration, which has just started and may not be
// known to the leader yet.
func (f *faultyFleet) checkWatermark() {
	c := f.leader.convergence(f.t)
	if !c.IsInForce(c.Version) || c.Live < fleetProxies {
		return
	}
	for id, p := range f.proxies {
		if version := p.state().Configuration.Version; version < c.Version && version > 0 {
			f.t.Fatalf("version %d is reported in force everywhere, %s has %d", c.Version, id, version)
		}
	}
}

// settle ends every fault and waits until every proxy has the complete state.
func (f *faultyFleet) settle() {
	for _, l := range f.links {
		l.setCut(false, false)
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
		target, found := p.target(id)
		if !found || target.Incarnation != announced.Incarnation || target.Sequence != announced.Sequence || target.State != announced.State {
			return false
		}
	}
	return true
}
