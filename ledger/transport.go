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

// The methods of the ledger's messages.
const (
	methodMessage = "ledger_message"
	methodPing    = "ledger_ping"
)

const (
	// linkBacklog bounds the messages that wait for a connection.
	linkBacklog = 256
	// maxLinks bounds the addresses that an instance talks to.
	maxLinks = 64
	// minRedial and maxRedial bound the wait before a connection is opened
	// again.
	minRedial = 50 * time.Millisecond
	maxRedial = 2 * time.Second
)

// transport sends messages to other instances, each over its own connection.
type transport struct {
	timing Timing
	lost   chan<- string
	starts chan *link
	// waiting counts the messages that have not left.
	waiting atomic.Int64

	// links belong to the goroutine that sends.
	links map[netip.AddrPort]*link
}

// link is the connection to one address.
type link struct {
	address netip.AddrPort
	queue   chan Message
	timing  Timing
	lost    chan<- string
	waiting *atomic.Int64
}

func newTransport(timing Timing, lost chan<- string) *transport {
	return &transport{
		timing: timing,
		lost:   lost,
		starts: make(chan *link, maxLinks),
		links:  map[netip.AddrPort]*link{},
	}
}

// send queues a message. It drops the message where too many wait.
func (t *transport) send(m Message) {
	to, ok := t.links[m.To.Address]
	if !ok {
		if len(t.links) == maxLinks {
			metricDropped.Inc()
			return
		}
		to = &link{address: m.To.Address, queue: make(chan Message, linkBacklog), timing: t.timing, lost: t.lost, waiting: &t.waiting}
		t.links[m.To.Address] = to
		t.starts <- to
	}
	select {
	case to.queue <- m:
		t.waiting.Add(1)
	default:
		metricDropped.Inc()
	}
}

// run drives the links until the context ends.
func (t *transport) run(ctx context.Context) error {
	var links sync.WaitGroup
	defer links.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case started := <-t.starts:
			links.Go(func() { started.run(ctx) })
		}
	}
}

// run keeps a connection open while there is something to send.
func (l *link) run(ctx context.Context) {
	redial := minRedial
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			startedAt := time.Now()
			l.connect(ctx, m)
			if time.Since(startedAt) > maxRedial {
				redial = minRedial
			}
			l.loseQueue(m.To.ID)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(redial)):
		}
		redial = min(2*redial, maxRedial)
	}
}

// connect opens a connection and sends messages until it fails.
func (l *link) connect(ctx context.Context, first Message) {
	peer, err := wire.Dial(ctx, l.address, wire.NewMux())
	if err != nil {
		l.waiting.Add(-1)
		return
	}
	defer func() { _ = peer.Close() }()
	var probe sync.WaitGroup
	defer probe.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe.Go(func() { l.probe(ctx, peer) })
	for m := first; ; {
		err := wire.Notify(ctx, peer, methodMessage, encodeMessage(m))
		l.waiting.Add(-1)
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-peer.Closed():
			return
		case m = <-l.queue:
		}
	}
}

// probe closes a connection that does not answer, so that a silent one is
// replaced before the other end misses the leader.
func (l *link) probe(ctx context.Context, peer *wire.Peer) {
	ticker := time.NewTicker(l.timing.Heartbeat)
	defer ticker.Stop()
	for {
		ping, cancel := context.WithTimeout(ctx, l.timing.ElectionMin/2)
		_, err := wire.Call[struct{}, struct{}](ping, peer, methodPing, struct{}{})
		cancel()
		if err != nil {
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

// loseQueue drops the messages that waited for a broken connection and says
// so.
func (l *link) loseQueue(id string) {
	metricLostPeers.Inc()
	for range len(l.queue) {
		<-l.queue
		l.waiting.Add(-1)
		metricDropped.Inc()
	}
	select {
	case l.lost <- id:
	default:
	}
}
