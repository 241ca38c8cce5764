package delivery

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

const (
	// fleetServices is the number of services in a fleet of 20,000 proxies.
	fleetServices = 1500
	// proxiesMeasured is the number of proxies whose traffic is measured.
	proxiesMeasured = 50
	// changesMeasured is the number of configuration changes of a run.
	changesMeasured = 20
	// benchWait limits the wait for the proxies of a benchmark.
	benchWait = 60 * time.Second
)

// withChangedRoute returns the configuration with one route changed.
func withChangedRoute(c *hornbeamwell.Configuration) *hornbeamwell.Configuration {
	next := *c
	next.Version++
	next.Routes = append([]hornbeamwell.Route(nil), c.Routes...)
	next.Routes[int(next.Version)%len(next.Routes)].MaxAttempts = int(next.Version)
	return &next
}

// BenchmarkConvergence measures the time from a change at the source until each
// proxy has applied it, and until the source reports it as in force everywhere.
func BenchmarkConvergence(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 2000} {
		b.Run(fmt.Sprintf("proxies=%d", count), func(b *testing.B) {
			leader := startNode(b, "c1")
			configuration := sampleConfiguration(1, serviceNames(fleetServices)...)
			leader.configure(b, configuration)
			h := startHerd(b, count, leader.address)
			waitFor(b, benchWait, "the herd is up", func() bool { return inForceOn(b, leader, 1, count) })
			applied := make([]time.Duration, 0, count*changesMeasured)
			var everywhere time.Duration
			for range changesMeasured {
				configuration = withChangedRoute(configuration)
				began := time.Now()
				leader.configure(b, configuration)
				everywhere += waitFor(b, benchWait, "the new version is in force on every proxy", func() bool { return inForceOn(b, leader, configuration.Version, count) })
				applied = append(applied, h.latencies(configuration.Version, began)...)
			}
			reportLatencies(b, applied)
			b.ReportMetric(float64((everywhere/changesMeasured).Microseconds())/1000, "ms-known")
		})
	}
}

func reportLatencies(b *testing.B, applied []time.Duration) {
	b.Helper()
	slices.Sort(applied)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(applied[len(applied)/2]), "ms-p50")
	b.ReportMetric(ms(applied[len(applied)*99/100]), "ms-p99")
	b.ReportMetric(0, "ns/op")
}

// traffic is the number of bytes that a source's sessions received and sent.
type traffic struct {
	received, sent uint64
}

func (n *node) traffic(b *testing.B) traffic {
	b.Helper()
	var total traffic
	n.do(b, func(*blackboard.Board) {
		for _, s := range n.source.sessions {
			total.received += s.peer.Received()
			total.sent += s.peer.Sent()
		}
	})
	return total
}

// perProxy returns the bytes per measured proxy between two measurements.
func perProxy(before, after traffic) float64 {
	return float64(after.received-before.received+after.sent-before.sent) / proxiesMeasured
}

// BenchmarkControlBytes measures the bytes of one proxy: at its start, per second
// when idle, per configuration change, and per restart of a target, which
// consists of a drain, an end and a new announcement. TCP and IP headers are not
// counted.
func BenchmarkControlBytes(b *testing.B) {
	const count, targets, idle = proxiesMeasured, 20_000, 20 * time.Second
	for name, interests := range map[string][]string{"all": nil, "ten": serviceNames(10)} {
		b.Run("interests="+name, func(b *testing.B) {
			leader := startNode(b, "c1")
			configuration := sampleConfiguration(1, serviceNames(fleetServices)...)
			leader.configure(b, configuration)
			leader.announce(b, targets, 1, hornbeamwell.TargetReady)
			for i := range count {
				s := NewSubscriber(SubscriberOptions{
					ID: fmt.Sprintf("p%05d", i), Sources: []netip.AddrPort{leader.address}, Interests: interests,
					Apply: func(time.Time, Update) error { return nil },
				})
				go func() { _ = s.Run(b.Context()) }()
			}
			waitFor(b, benchWait, "the proxies are up", func() bool { return inForceOn(b, leader, 1, count) })
			time.Sleep(time.Second)
			afterStart := leader.traffic(b)
			time.Sleep(idle)
			afterIdle := leader.traffic(b)
			for range changesMeasured {
				configuration = withChangedRoute(configuration)
				leader.configure(b, configuration)
				waitFor(b, benchWait, "the new version is in force on every proxy", func() bool { return inForceOn(b, leader, configuration.Version, count) })
			}
			afterChanges := leader.traffic(b)
			for i := range changesMeasured {
				leader.restart(b, uint64(i))
			}
			afterRestarts := leader.traffic(b)
			b.ReportMetric(perProxy(traffic{}, afterStart), "bytes-start")
			b.ReportMetric(perProxy(afterStart, afterIdle)/idle.Seconds(), "bytes/s-idle")
			b.ReportMetric(perProxy(afterIdle, afterChanges)/changesMeasured, "bytes/change")
			b.ReportMetric(perProxy(afterChanges, afterRestarts)/changesMeasured, "bytes/restart")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// announce announces targets distributed over all services.
func (n *node) announce(b *testing.B, count int, sequence uint64, state hornbeamwell.TargetState) {
	b.Helper()
	services := serviceNames(fleetServices)
	all := make([]hornbeamwell.Target, 0, count)
	for i := range count {
		t := sampleTarget(fmt.Sprintf("t%05d", i), services[i%len(services)], sequence)
		t.State = state
		all = append(all, t)
	}
	n.do(b, func(*blackboard.Board) { n.membership.Announce("bench", all) })
}

// restart drains target 0, ends it and starts it again.
func (n *node) restart(b *testing.B, incarnation uint64) {
	b.Helper()
	t := sampleTarget("t00000", serviceNames(1)[0], 2)
	for _, state := range []hornbeamwell.TargetState{hornbeamwell.TargetDraining, hornbeamwell.TargetGone, hornbeamwell.TargetReady} {
		t.State = state
		t.Incarnation = incarnation + 2
		t.Sequence++
		n.do(b, func(*blackboard.Board) { n.membership.Announce("bench", []hornbeamwell.Target{t}) })
		time.Sleep(DefaultTiming().PresenceDelay + 100*time.Millisecond)
	}
}

// startSources starts relays and returns their addresses, or the leader's
// address if there are none.
func startSources(b *testing.B, leader *node, relays int) []netip.AddrPort {
	b.Helper()
	if relays == 0 {
		return []netip.AddrPort{leader.address}
	}
	sources := make([]netip.AddrPort, 0, relays)
	for i := range relays {
		sources = append(sources, startNode(b, fmt.Sprintf("r%d", i), leader.address).address)
	}
	return sources
}

// BenchmarkAcknowledgement compares what the leader receives for one change
// when relays report a watermark and when every proxy acknowledges to the
// leader directly.
func BenchmarkAcknowledgement(b *testing.B) {
	const count = 2000
	for _, relays := range []int{0, 2, 4} {
		name := fmt.Sprintf("watermark/relays=%d", relays)
		if relays == 0 {
			name = "one-by-one"
		}
		b.Run(name, func(b *testing.B) {
			leader := startNode(b, "c1")
			configuration := sampleConfiguration(1, serviceNames(100)...)
			leader.configure(b, configuration)
			startHerd(b, count, startSources(b, leader, relays)...)
			waitFor(b, benchWait, "the herd is up", func() bool { return inForceOn(b, leader, 1, count) })
			time.Sleep(time.Second)
			began := time.Now()
			before, reports, acks := leader.traffic(b), reportsReceived.Get(), acknowledgements.Get()
			for range changesMeasured {
				configuration = withChangedRoute(configuration)
				leader.configure(b, configuration)
				waitFor(b, benchWait, "the new version is in force on every proxy", func() bool { return inForceOn(b, leader, configuration.Version, count) })
			}
			after := leader.traffic(b)
			messages := reportsReceived.Get() - reports
			if relays == 0 {
				messages = acknowledgements.Get() - acks
			}
			b.ReportMetric(float64(messages)/changesMeasured, "messages/change")
			b.ReportMetric(float64(after.received-before.received)/changesMeasured, "bytes/change")
			b.ReportMetric(float64(time.Since(began).Milliseconds())/changesMeasured, "ms/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}
