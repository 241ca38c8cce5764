package ledger

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// The methods of ledger messages.
const (
	methodMessage = "ledger_message"
	methodPing    = "ledger_ping"
)

const (
	// bulkThresholdBytes is the size of entries or snapshot data above which a
	// message is sent over the bulk link.
	bulkThresholdBytes = 128 << 10
	// bulkPingTimeout is the timeout of a ping on a bulk link, where it may wait
	// behind a bulk message.
	bulkPingTimeout = 15 * time.Second
	// bulkIdleTimeout is the time after the last message for which a bulk link
	// stays open.
	bulkIdleTimeout = 200 * time.Millisecond
	// linkQueueSize is the capacity of a link's message queue.
	linkQueueSize = 256
	// maxLinks is the maximum number of links of an instance.
	maxLinks = 64
	// minRedialBackoff is the initial upper limit of the random delay before a
	// reconnect. The limit doubles up to Timing.ElectionMin.
	minRedialBackoff = 50 * time.Millisecond
)

// transport sends messages to other instances. Each of them has a connection
// for bulk messages and one for all others, so that a large command or a
// snapshot on a slow network does not delay heartbeats.
type transport struct {
	timing          Timing
	lostConnections chan<- string
	newLinks        chan *link
	// dial opens the connections. It gives up after the timeout.
	dial dialFunc
	// unsent counts the messages that are not sent yet.
	unsent atomic.Int64

	// links are accessed only by the goroutine that sends.
	links map[linkKey]*link
}

// dialFunc opens a connection. wire.DialTimeout is one.
type dialFunc func(ctx context.Context, timeout time.Duration, address netip.AddrPort, mux *wire.Mux) (*wire.Peer, error)

// linkKey identifies a link.
type linkKey struct {
	address netip.AddrPort
	isBulk  bool
}

// link sends messages to an address over one connection, which it reopens after
// a failure.
type link struct {
	linkKey
	queue chan Message
	// wake ends the delay before a reconnect.
	wake            chan struct{}
	timing          Timing
	dial            dialFunc
	lostConnections chan<- string
	unsent          *atomic.Int64
}

func newTransport(timing Timing, lost chan<- string) *transport {
	return &transport{
		timing:          timing,
		lostConnections: lost,
		newLinks:        make(chan *link, maxLinks),
		dial:            wire.DialTimeout,
		links:           map[linkKey]*link{},
	}
}

// send queues a message. It drops the message if the queue is full or there are
// too many links.
func (t *transport) send(m Message) {
	key := linkKey{address: m.To.Address, isBulk: isBulkMessage(m.Body)}
	l, ok := t.links[key]
	if !ok {
		if len(t.links) == maxLinks {
			metricMessagesDropped.Inc()
			return
		}
		l = &link{linkKey: key, queue: make(chan Message, linkQueueSize), wake: make(chan struct{}, 1), timing: t.timing, dial: t.dial, lostConnections: t.lostConnections, unsent: &t.unsent}
		t.links[key] = l
		t.newLinks <- l
	}
	select {
	case l.queue <- m:
		t.unsent.Add(1)
	default:
		metricMessagesDropped.Inc()
	}
}

// resetBackoff ends the reconnect delay of the links to an address from which a
// message was received, so that an instance is reached soon after it returns.
func (t *transport) resetBackoff(address netip.AddrPort) {
	for _, isBulk := range []bool{false, true} {
		if l, ok := t.links[linkKey{address: address, isBulk: isBulk}]; ok {
			select {
			case l.wake <- struct{}{}:
			default:
			}
		}
	}
}

// isBulkMessage reports whether a message is sent over the bulk link.
func isBulkMessage(body Body) bool {
	switch b := body.(type) {
	case SnapshotChunk:
		return len(b.Data) > bulkThresholdBytes
	case Append:
		bytes := 0
		for _, e := range b.Entries {
			bytes += len(e.Data)
		}
		return bytes > bulkThresholdBytes
	default:
		return false
	}
}

// run runs the links until the context ends.
func (t *transport) run(ctx context.Context) error {
	var links sync.WaitGroup
	defer links.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case l := <-t.newLinks:
			links.Go(func() { l.run(ctx) })
		}
	}
}

// run opens a connection for the next message to send. After a failure it drops
// the queued messages and waits for a random delay.
func (l *link) run(ctx context.Context) {
	backoff := minRedialBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			startedAt := time.Now()
			if err := l.runConnection(ctx, m); err == nil {
				backoff = minRedialBackoff
				continue
			}
			if time.Since(startedAt) > l.timing.ElectionMax {
				backoff = minRedialBackoff
			}
			l.dropQueue(m.To.ID)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			backoff = minRedialBackoff
		case <-time.After(rand.N(backoff)):
		}
		backoff = min(2*backoff, l.timing.ElectionMin)
	}
}

// runConnection opens a connection and sends messages until it fails. It
// returns nil when a bulk link becomes idle and a last ping succeeds, so that
// the next message opens a new connection instead of using one that may have
// become unresponsive.
func (l *link) runConnection(ctx context.Context, first Message) error {
	// The kernel retransmits a lost SYN only after a second. A new dial after
	// the timeout is faster.
	peer, err := l.dial(ctx, l.pingTimeout(), l.address, wire.NewMux())
	if err != nil {
		l.unsent.Add(-1)
		return err
	}
	defer func() { _ = peer.Close() }()
	var probe sync.WaitGroup
	defer probe.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe.Go(func() { l.probe(ctx, peer) })
	for m := first; ; {
		err := wire.Notify(ctx, peer, methodMessage, encodeMessage(m))
		l.unsent.Add(-1)
		if err != nil {
			return err
		}
		var idle <-chan time.Time
		if l.isBulk {
			idle = time.After(bulkIdleTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-peer.Closed():
			return errLinkClosed
		case <-idle:
			return l.ping(ctx, peer)
		case m = <-l.queue:
		}
	}
}

// probe closes a connection that does not reply to a ping in time. Thus a
// connection that is not for bulk messages is replaced before the other end's
// election timeout.
func (l *link) probe(ctx context.Context, peer *wire.Peer) {
	ticker := time.NewTicker(l.timing.Heartbeat)
	defer ticker.Stop()
	for {
		if err := l.ping(ctx, peer); err != nil {
			_ = peer.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pingTimeout returns the timeout of a dial, and of a ping on a link that is not
// for bulk messages.
func (l *link) pingTimeout() time.Duration { return l.timing.ElectionMin / 2 }

// ping waits until the other end has received every earlier message of the
// connection, or until nothing was received for the timeout.
func (l *link) ping(ctx context.Context, peer *wire.Peer) error {
	timeout := l.pingTimeout()
	if l.isBulk {
		timeout = bulkPingTimeout
	}
	_, err := wire.CallResponsive[struct{}, struct{}](ctx, peer, timeout, methodPing, struct{}{})
	return err
}

// dropQueue drops the messages queued for a broken connection and reports the
// loss.
func (l *link) dropQueue(id string) {
	metricLostConnections.Inc()
	for range len(l.queue) {
		<-l.queue
		l.unsent.Add(-1)
		metricMessagesDropped.Inc()
	}
	select {
	case l.lostConnections <- id:
	default:
	}
}
