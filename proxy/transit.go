package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// transitPeriod is the time over which the least delay of a sender is taken. The clocks
	// of two machines drift apart by a few milliseconds in it.
	transitPeriod = 30 * time.Second
	// maxTransitSenders bounds the number of processes whose delay is measured.
	maxTransitSenders = 4096
	// stampBase is the base in which the time of a send is encoded, to keep it short.
	stampBase = 36
	// maxStamp is the last time that is read, in the year 2286.
	maxStamp = 1e13
)

// transitMeter measures for how long calls of other proxies were on their way: in the queue
// of a link, or in a socket while this process did not read. The clocks of two machines
// differ by an unknown time, which the least difference seen recently stands for. It is safe
// for concurrent use.
type transitMeter struct {
	mu sync.Mutex
	// senders is by the prefix of the attempt ids of a process.
	senders map[string]*senderClock
}

// senderClock is what is known of the clock of another process.
type senderClock struct {
	// least is the least difference of the clocks since the period began, before that of
	// the period before.
	least, before time.Duration
	began         time.Time
}

func (m *transitMeter) init() { m.senders = map[string]*senderClock{} }

// transit returns the time that a call spent on its way beyond the least of its sender. The
// call was sent at the given time of the sender's clock and arrived at the time now.
func (m *transitMeter) transit(now time.Time, sender string, sent time.Time) time.Duration {
	difference := now.Sub(sent)
	m.mu.Lock()
	defer m.mu.Unlock()
	s, known := m.senders[sender]
	if !known {
		m.makeRoom(now)
		s = &senderClock{least: difference, before: difference, began: now}
		m.senders[sender] = s
	}
	switch age := now.Sub(s.began); {
	case age >= 2*transitPeriod:
		*s = senderClock{least: difference, before: difference, began: now}
	case age >= transitPeriod:
		*s = senderClock{least: difference, before: s.least, began: now}
	}
	s.least = min(s.least, difference)
	return difference - min(s.least, s.before)
}

// formatStamp encodes the time of a send, in milliseconds since 1970.
func formatStamp(sent time.Time) string { return strconv.FormatInt(sent.UnixMilli(), stampBase) }

// parseStamp decodes the time of a send. It returns false if the text is not valid.
func parseStamp(text string) (time.Time, bool) {
	millis, err := strconv.ParseInt(text, stampBase, 64)
	if err != nil || millis < 0 || millis > maxStamp {
		return time.Time{}, false
	}
	return time.UnixMilli(millis), true
}

// transitOf returns the time that a call spent on its way, 0 for a call of an earlier
// version, which does not state when it was sent.
func (p *Proxy) transitOf(h http.Header, id string) time.Duration {
	sent, valid := parseStamp(headerValue(h, headerSent))
	if !valid {
		return 0
	}
	sender, _, _ := strings.Cut(id, attemptSeparator)
	return p.transits.transit(p.options.LeaseNow(), sender, sent)
}

// makeRoom removes the senders that have sent nothing for a while, or all if too many are
// left.
func (m *transitMeter) makeRoom(now time.Time) {
	if len(m.senders) < maxTransitSenders {
		return
	}
	for sender, s := range m.senders {
		if now.Sub(s.began) >= 2*transitPeriod {
			delete(m.senders, sender)
		}
	}
	if len(m.senders) >= maxTransitSenders {
		clear(m.senders)
	}
}
