package ledger

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
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
	// maxOtherLinks is the maximum number of links to addresses that are not those of
	// members. Any process may send messages that are replied to.
	maxOtherLinks = 64
	// linkIdleTimeout is the time after the last message for which a link to the address
	// of no member stays open. It is longer than joinInterval.
	linkIdleTimeout = 5 * time.Second
	// dropReportInterval is the time between two log lines about messages to one member
	// that were dropped.
	dropReportInterval = 10 * time.Second
	// minRedialBackoff is the initial upper limit of the random delay before a
	// reconnect. The limit doubles up to Timing.ElectionMin.
	minRedialBackoff = 50 * time.Millisecond
)

// transport sends messages to other instances. Each of them has a connection
// for bulk messages and one for all others, so that a large command or a
// snapshot on a slow network does not delay heartbeats. Links to members stay
// open, others until they are idle.
type transport struct {
	timing          Timing
	lostConnections chan<- string
	logger          log.Logger
	// dial opens the connections. It gives up after the timeout.
	dial dialFunc
	// unsent counts the messages that are not sent yet.
	unsent atomic.Int64

	mutex sync.Mutex
	// newLinks are the links that do not run yet. The mutex guards them. After an addition
	// hasNewLinks receives a token unless it still holds one.
	newLinks    []*link
	hasNewLinks chan struct{}

	// The following fields are accessed only by the goroutine that sends.
	links map[linkKey]*link
	// members are the members by address.
	members map[netip.AddrPort]hornbeamwell.LedgerMember
	// dropsReportedAt is the time of the last log lines about dropped messages.
	dropsReportedAt time.Time
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
	// pending counts the messages of this link that are queued or being sent. It is
	// increased only by the goroutine that sends.
	pending atomic.Int64
	// dropped counts the messages that were dropped since the last log line about it.
	dropped atomic.Int64
	// closed is closed once nothing is queued any more.
	closed chan struct{}
	// lastQueuedAt is the time of the last message. It is accessed only by the goroutine
	// that sends.
	lastQueuedAt time.Time
}

func newTransport(timing Timing, lost chan<- string, logger log.Logger) *transport {
	return &transport{
		timing:          timing,
		lostConnections: lost,
		logger:          logger,
		hasNewLinks:     make(chan struct{}, 1),
		dial:            wire.DialTimeout,
		links:           map[linkKey]*link{},
		members:         map[netip.AddrPort]hornbeamwell.LedgerMember{},
	}
}

// send queues a message. It drops the message if the queue is full.
func (t *transport) send(now time.Time, m Message) {
	key := linkKey{address: m.To.Address, isBulk: isBulkMessage(m.Body)}
	l, ok := t.links[key]
	if !ok {
		l = t.open(key)
	}
	l.lastQueuedAt = now
	l.pending.Add(1)
	t.unsent.Add(1)
	select {
	case l.queue <- m:
	default:
		l.drop()
	}
}

// open returns a new link. If there are too many to addresses of no member, it closes the
// one of them that was not used for the longest time.
func (t *transport) open(key linkKey) *link {
	if !t.isMember(key) {
		t.makeRoom()
	}
	l := &link{
		linkKey: key, queue: make(chan Message, linkQueueSize), wake: make(chan struct{}, 1), closed: make(chan struct{}),
		timing: t.timing, dial: t.dial, lostConnections: t.lostConnections, unsent: &t.unsent,
	}
	t.links[key] = l
	t.mutex.Lock()
	t.newLinks = append(t.newLinks, l)
	t.mutex.Unlock()
	select {
	case t.hasNewLinks <- struct{}{}:
	default:
	}
	return l
}

func (t *transport) takeNewLinks() []*link {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	taken := t.newLinks
	t.newLinks = nil
	return taken
}

func (t *transport) isMember(key linkKey) bool {
	_, found := t.members[key.address]
	return found
}

func (t *transport) makeRoom() {
	others := 0
	var oldest *link
	for key, l := range t.links {
		if t.isMember(key) {
			continue
		}
		others++
		if oldest == nil || l.lastQueuedAt.Before(oldest.lastQueuedAt) {
			oldest = l
		}
	}
	if others >= maxOtherLinks {
		metricLinksEvicted.Inc()
		t.close(oldest)
	}
}

// close removes a link. Messages that wait in its queue are dropped.
func (t *transport) close(l *link) {
	delete(t.links, l.linkKey)
	close(l.closed)
}

// update closes the links that are idle and whose address is that of no member, and reports
// the messages to members that were dropped.
func (t *transport) update(now time.Time, members []hornbeamwell.LedgerMember) {
	clear(t.members)
	for _, m := range members {
		t.members[m.Address] = m
	}
	for key, l := range t.links {
		if !t.isMember(key) && l.pending.Load() == 0 && now.Sub(l.lastQueuedAt) >= linkIdleTimeout {
			t.close(l)
		}
	}
	metricLinks.Set(uint64(len(t.links)))
	if now.Sub(t.dropsReportedAt) >= dropReportInterval {
		t.dropsReportedAt = now
		t.reportDrops()
	}
}

// reportDrops writes a log line for each link to a member that has dropped messages.
func (t *transport) reportDrops() {
	for key, l := range t.links {
		member, found := t.members[key.address]
		if !found {
			continue
		}
		if dropped := l.dropped.Swap(0); dropped > 0 {
			_ = t.logger.Log("event", "ledger_messages_dropped", "to", member.ID, "role", member.Role, "address", key.address,
				"bulk", key.isBulk, "dropped", dropped, "queued", l.pending.Load())
		}
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
		return dataBytes(b.Entries) > bulkThresholdBytes
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
		case <-t.hasNewLinks:
			for _, l := range t.takeNewLinks() {
				links.Go(func() { l.run(ctx) })
			}
		}
	}
}

// run sends the messages of the link until it is closed or the context ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { l.sendQueue(ctx) })
	select {
	case <-ctx.Done():
	case <-l.closed:
		cancel()
		sending.Wait()
		l.dropQueue()
	}
}

// sendQueue opens a connection for the next message to send. After a failure it drops
// the queued messages and waits for a random delay.
func (l *link) sendQueue(ctx context.Context) {
	backoff := minRedialBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			startedAt := time.Now()
			err := l.runConnection(ctx, m)
			if err == nil {
				backoff = minRedialBackoff
				continue
			}
			if ctx.Err() != nil {
				return
			}
			if time.Since(startedAt) > l.timing.ElectionMax {
				backoff = minRedialBackoff
			}
			l.connectionLost(m.To.ID)
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
		l.drop()
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
		l.settle()
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

// connectionLost drops the messages queued for a broken connection and reports the
// loss.
func (l *link) connectionLost(id string) {
	metricLostConnections.Inc()
	l.dropQueue()
	select {
	case l.lostConnections <- id:
	default:
	}
}

func (l *link) dropQueue() {
	for range len(l.queue) {
		<-l.queue
		l.drop()
	}
}

// drop records that a message is not sent.
func (l *link) drop() {
	metricMessagesDropped.Inc()
	l.dropped.Add(1)
	l.settle()
}

// settle records that a message has been sent or dropped.
func (l *link) settle() {
	l.pending.Add(-1)
	l.unsent.Add(-1)
}
