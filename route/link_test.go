package route

import (
	"slices"
	"testing"
	"time"
)

// slowLink is the network behind a proxy. It sends bytes in the order of their
// arrival, at 12 Mbit/s.
type slowLink struct{ freeAt time.Time }

const slowLinkBitsPerSecond = 12e6

// send returns the time at which the last of the bytes is sent.
func (s *slowLink) send(now time.Time, bytes int64) time.Time {
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) * 8 / slowLinkBitsPerSecond * float64(time.Second)))
	return s.freeAt
}

// downloads is a load of long responses that exceeds the link rate, together
// with short responses: one of 90 kB every 45 ms and one of 400 bytes every
// 10 ms.
type downloads struct {
	link      *Link
	network   slowLink
	now       time.Time
	transfers []transfer
	// shorts and longs are the latencies of the short and the long responses.
	shorts, longs []time.Duration
	refused       int
}

// transfer is a long response that is being sent piece by piece.
type transfer struct {
	reservation Reservation
	sent        int64
	beganAt     time.Time
}

const (
	downloadBytes    = 90_000
	downloadInterval = 45 * time.Millisecond
	shortBytes       = 400
	shortInterval    = 10 * time.Millisecond
	pieceBytes       = 16 << 10
	// downloadObjective lets a download wait about 330 ms for the link.
	downloadObjective = 500 * time.Millisecond
)

func simulateDownloads(link *Link, duration time.Duration) *downloads {
	d := &downloads{link: link, now: time.Unix(1_800_000_000, 0)}
	started := d.now
	for tick := time.Duration(0); tick < duration; tick += time.Millisecond {
		d.now = started.Add(tick)
		if tick%downloadInterval == 0 {
			d.offer()
		}
		d.sendPieces()
		if tick%shortInterval == 0 {
			d.link.RecordShort(d.now, shortBytes)
			d.shorts = append(d.shorts, d.network.send(d.now, shortBytes).Sub(d.now))
		}
	}
	return d
}

// offer adds a call with a long response. Its work takes no time.
func (d *downloads) offer() {
	if d.link.Forecast(d.now, "packs").ExcessDelay(d.now, d.now.Add(downloadObjective)) > 0 {
		d.refused++
		return
	}
	d.link.RemoveExpected(d.link.AddExpected("packs"))
	d.link.RecordSize("packs", downloadBytes)
	d.transfers = append(d.transfers, transfer{reservation: d.link.Reserve(d.now, downloadBytes), beganAt: d.now})
}

func (d *downloads) sendPieces() {
	for i := range d.transfers {
		p := &d.transfers[i]
		for p.sent < downloadBytes && !p.reservation.SendTime(p.sent).After(d.now) {
			n := min(pieceBytes, downloadBytes-p.sent)
			p.sent += n
			sentAt := d.network.send(d.now, n)
			if p.sent == downloadBytes {
				d.longs = append(d.longs, sentAt.Sub(p.beganAt))
			}
		}
	}
}

func quantile(durations []time.Duration, q float64) time.Duration {
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// TestDownloadsDoNotDelayShortResponses sends downloads at 133% of the link
// rate. Without scheduling, all responses queue in the network and wait for
// seconds, increasingly long.
func TestDownloadsDoNotDelayShortResponses(t *testing.T) {
	t.Parallel()
	const duration = 20 * time.Second
	without := simulateDownloads(NewLink(0), duration)
	if p50 := quantile(without.shorts, 0.5); p50 < time.Second {
		t.Fatalf("the load is no overload: the median latency of short responses is %s without scheduling", p50)
	}
	with := simulateDownloads(NewLink(slowLinkBitsPerSecond), duration)
	// A short response waits for the piece that is being sent, and occasionally
	// for those before it.
	if p99 := quantile(with.shorts, 0.99); p99 > 30*time.Millisecond {
		t.Errorf("the 99th percentile of the latency of short responses is %s", p99)
	}
	// Accepted downloads meet their objective.
	if slowest := quantile(with.longs, 1); slowest > downloadObjective {
		t.Errorf("a long response takes %s", slowest)
	}
	carried := float64(len(with.longs)*downloadBytes) * 8 / duration.Seconds()
	if carried < 0.75*slowLinkBitsPerSecond {
		t.Errorf("downloads use %.1f of %.1f Mbit/s", carried/1e6, slowLinkBitsPerSecond/1e6)
	}
	t.Logf("short responses: p50 %s, p99 %s; without scheduling %s and %s; %d downloads sent, %d refused, the slowest took %s",
		quantile(with.shorts, 0.5), quantile(with.shorts, 0.99), quantile(without.shorts, 0.5), quantile(without.shorts, 0.99),
		len(with.longs), with.refused, quantile(with.longs, 1))
}

func TestAbortedResponseReleasesReservation(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBitsPerSecond)
	first := link.Reserve(now, 300_000)
	first.Release(100_000)
	behind := link.Reserve(now, 1000)
	if wait := behind.SendTime(0).Sub(now); wait < 70*time.Millisecond || wait > 90*time.Millisecond {
		t.Errorf("the next response waits %s for 100 kB", wait)
	}
	first.Release(300_000)
	if again := link.Reserve(now, 0); again.SendTime(0).Sub(now) < 70*time.Millisecond {
		t.Error("a response that was sent completely released a part of its reservation")
	}
}

func TestShortResponsesDoNotWaitForTheLink(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBitsPerSecond)
	link.RecordSize("look-up", 400)
	link.RecordLatency("look-up", 40*time.Millisecond)
	link.RecordSize("packs", downloadBytes)
	link.RecordLatency("packs", 130*time.Millisecond)
	link.Reserve(now, 10_000_000)
	if f := link.Forecast(now, "look-up"); f != (Forecast{}) {
		t.Errorf("the forecast of a short response is %+v, want none", f)
	}
	if f := link.Forecast(now, "packs"); f.Delay < 5*time.Second {
		t.Errorf("the forecast of a long response behind 10 MB is %+v", f)
	}
	expected := link.AddExpected("packs")
	before := link.Forecast(now, "packs")
	link.RemoveExpected(expected)
	if after := link.Forecast(now, "packs"); after.Delay >= before.Delay {
		t.Errorf("a response that has begun is still expected: %+v, before %+v", after, before)
	}
}

// TestLinkDelayOverlapsWork checks that a call whose work lasts as long as the
// link is busy has no link delay.
func TestLinkDelayOverlapsWork(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBitsPerSecond)
	link.RecordSize("packs", downloadBytes)
	link.RecordLatency("packs", 200*time.Millisecond)
	link.AddExpected("packs")
	link.AddExpected("packs")
	if f := link.Forecast(now, "packs"); f.Delay != 0 {
		t.Errorf("a call behind two responses that are sent during its work is delayed by %s", f.Delay)
	}
	link.Reserve(now, 1_000_000)
	if f := link.Forecast(now, "packs"); f.Delay < 500*time.Millisecond {
		t.Errorf("a call behind 1 MB is delayed by %s", f.Delay)
	}
}

// TestLateCallsUseAnIdleLink forecasts the delay of a call whose objective has
// passed, such as that of a caller that retries, on an idle and on a busy link.
func TestLateCallsUseAnIdleLink(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBitsPerSecond)
	link.RecordSize("packs", downloadBytes)
	link.RecordLatency("packs", 200*time.Millisecond)
	past := now.Add(-time.Second)
	link.AddExpected("packs")
	if excess := link.Forecast(now, "packs").ExcessDelay(now, past); excess != 0 {
		t.Errorf("the link delay of a late call on an idle link is too long by %s", excess)
	}
	link.Reserve(now, 800_000)
	if excess := link.Forecast(now, "packs").ExcessDelay(now, past); excess < 100*time.Millisecond {
		t.Errorf("the link delay of a late call on a busy link is too long by only %s", excess)
	}
	if excess := link.Forecast(now, "packs").ExcessDelay(now, now.Add(2*time.Second)); excess != 0 {
		t.Errorf("the link delay of a call with enough time is too long by %s", excess)
	}
}
