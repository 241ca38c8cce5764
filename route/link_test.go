package route

import (
	"slices"
	"testing"
	"time"
)

// slowLink is the network behind a proxy: it sends in the order in which bytes
// come, at 12 Mbit/s.
type slowLink struct{ freeAt time.Time }

const slowLinkBits = 12e6

// send returns when the last of the bytes has gone.
func (s *slowLink) send(now time.Time, bytes int64) time.Time {
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) * 8 / slowLinkBits * float64(time.Second)))
	return s.freeAt
}

// downloads is the pattern of long answers that need more than the link carries,
// beside short ones that others wait for: each 45 ms an answer of 90 kB, each
// 10 ms one of 400 bytes.
type downloads struct {
	link    *Link
	network slowLink
	now     time.Time
	pieces  []piece
	// shorts are the times that short answers took, longs those of long ones.
	shorts, longs []time.Duration
	refused       int
}

// piece is a part of a long answer on its way.
type piece struct {
	turn    Reservation
	sent    int64
	beganAt time.Time
}

const (
	downloadBytes    = 90_000
	downloadInterval = 45 * time.Millisecond
	shortBytes       = 400
	shortInterval    = 10 * time.Millisecond
	pieceOf          = 16 << 10
	// downloadObjective leaves a download some 300 ms to wait for the link.
	downloadObjective = 500 * time.Millisecond
)

func playDownloads(link *Link, duration time.Duration) *downloads {
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

// offer lets a call with a long answer come. Its work takes no time here.
func (d *downloads) offer() {
	if d.link.Forecast(d.now, "packs").ExcessDelay(d.now, d.now.Add(downloadObjective)) > 0 {
		d.refused++
		return
	}
	d.link.RemoveExpected(d.link.AddExpected("packs"))
	d.link.RecordSize("packs", downloadBytes)
	d.pieces = append(d.pieces, piece{turn: d.link.Reserve(d.now, downloadBytes), beganAt: d.now})
}

func (d *downloads) sendPieces() {
	for i := range d.pieces {
		p := &d.pieces[i]
		for p.sent < downloadBytes && !p.turn.SendTime(p.sent).After(d.now) {
			n := min(pieceOf, downloadBytes-p.sent)
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

// TestDownloadsLeaveShortAnswersTheLink plays downloads that need 133% of a link.
// Without turns everything waits in the network, for seconds and ever longer.
func TestDownloadsLeaveShortAnswersTheLink(t *testing.T) {
	t.Parallel()
	const duration = 20 * time.Second
	without := playDownloads(NewLink(0), duration)
	if p50 := quantile(without.shorts, 0.5); p50 < time.Second {
		t.Fatalf("the load is no overload: half of the short answers take less than %s without turns", p50)
	}
	with := playDownloads(NewLink(slowLinkBits), duration)
	// A short answer waits for the piece that is being sent, and now and then
	// for those before it.
	if p99 := quantile(with.shorts, 0.99); p99 > 30*time.Millisecond {
		t.Errorf("99 in 100 short answers take up to %s", p99)
	}
	// What is accepted meets its objective.
	if most := quantile(with.longs, 1); most > downloadObjective {
		t.Errorf("a long answer takes %s", most)
	}
	carried := float64(len(with.longs)*downloadBytes) * 8 / duration.Seconds()
	if carried < 0.75*slowLinkBits {
		t.Errorf("downloads get %.1f of %.1f Mbit/s", carried/1e6, slowLinkBits/1e6)
	}
	t.Logf("short answers: half take %s, 99 in 100 %s; without turns %s and %s; %d downloads sent, %d refused, at most %s",
		quantile(with.shorts, 0.5), quantile(with.shorts, 0.99), quantile(without.shorts, 0.5), quantile(without.shorts, 0.99),
		len(with.longs), with.refused, quantile(with.longs, 1))
}

func TestBrokenAnswerGivesItsTurnBack(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBits)
	first := link.Reserve(now, 300_000)
	first.Release(100_000)
	behind := link.Reserve(now, 1000)
	if wait := behind.SendTime(0).Sub(now); wait < 70*time.Millisecond || wait > 90*time.Millisecond {
		t.Errorf("the next answer waits %s for 100 kB", wait)
	}
	first.Release(300_000)
	if again := link.Reserve(now, 0); again.SendTime(0).Sub(now) < 70*time.Millisecond {
		t.Error("an answer that was sent whole gave a part of its turn back")
	}
}

func TestShortAnswersDoNotWaitForTheLink(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBits)
	link.RecordSize("look-up", 400)
	link.RecordLatency("look-up", 40*time.Millisecond)
	link.RecordSize("packs", downloadBytes)
	link.RecordLatency("packs", 130*time.Millisecond)
	link.Reserve(now, 10_000_000)
	if f := link.Forecast(now, "look-up"); f != (Forecast{}) {
		t.Errorf("of a short answer is expected %+v", f)
	}
	if f := link.Forecast(now, "packs"); f.Delay < 5*time.Second {
		t.Errorf("of a long answer behind 10 MB is expected %+v", f)
	}
	expected := link.AddExpected("packs")
	before := link.Forecast(now, "packs")
	link.RemoveExpected(expected)
	if after := link.Forecast(now, "packs"); after.Delay >= before.Delay {
		t.Errorf("an answer that came is still expected: %+v, before %+v", after, before)
	}
}

// TestWorkGoesOnWhileTheLinkIsBusy checks that a call whose work lasts as long as
// the link is busy waits for neither.
func TestWorkGoesOnWhileTheLinkIsBusy(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBits)
	link.RecordSize("packs", downloadBytes)
	link.RecordLatency("packs", 200*time.Millisecond)
	link.AddExpected("packs")
	link.AddExpected("packs")
	if f := link.Forecast(now, "packs"); f.Delay != 0 {
		t.Errorf("behind two answers that are sent during its work a call is delayed by %s", f.Delay)
	}
	link.Reserve(now, 1_000_000)
	if f := link.Forecast(now, "packs"); f.Delay < 500*time.Millisecond {
		t.Errorf("behind a megabyte a call is delayed by %s", f.Delay)
	}
}

// TestLateCallsUseAFreeLink offers a call whose objective has passed, as that of a
// caller who comes back, on a free link and on a busy one.
func TestLateCallsUseAFreeLink(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	link := NewLink(slowLinkBits)
	link.RecordSize("packs", downloadBytes)
	link.RecordLatency("packs", 200*time.Millisecond)
	past := now.Add(-time.Second)
	link.AddExpected("packs")
	if over := link.Forecast(now, "packs").ExcessDelay(now, past); over != 0 {
		t.Errorf("on a free link a late call is to come back after %s", over)
	}
	link.Reserve(now, 800_000)
	if over := link.Forecast(now, "packs").ExcessDelay(now, past); over < 100*time.Millisecond {
		t.Errorf("on a busy link a late call is to come back after %s", over)
	}
	if over := link.Forecast(now, "packs").ExcessDelay(now, now.Add(2*time.Second)); over != 0 {
		t.Errorf("a call with time enough is to come back after %s", over)
	}
}
