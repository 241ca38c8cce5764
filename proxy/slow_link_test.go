package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// slowLink is the network link of a machine. Connections through it share a byte rate and
// one FIFO queue in each direction. It loses nothing: the sender waits while the queue is
// full.
type slowLink struct {
	t        *testing.T
	up, down *linkQueue
}

// linkQueue is one direction of a link.
type linkQueue struct {
	bytesPerSecond float64
	// limit is the longest delay of the queue.
	limit time.Duration

	mu sync.Mutex
	// freeAt is the time at which the queue is empty.
	freeAt time.Time
}

// newSlowLink returns a link whose queues delay by at most the limit.
func newSlowLink(t *testing.T, bytesPerSecond float64, limit time.Duration) *slowLink {
	t.Helper()
	return &slowLink{
		t: t, up: &linkQueue{bytesPerSecond: bytesPerSecond, limit: limit}, down: &linkQueue{bytesPerSecond: bytesPerSecond, limit: limit},
	}
}

// enqueue adds the bytes once there is room for them and returns the time at which they
// have passed.
func (q *linkQueue) enqueue(bytes int) time.Time {
	for {
		now := time.Now()
		q.mu.Lock()
		if q.freeAt.Before(now) {
			q.freeAt = now
		}
		if wait := q.freeAt.Sub(now) - q.limit; wait > 0 {
			q.mu.Unlock()
			time.Sleep(wait)
			continue
		}
		q.freeAt = q.freeAt.Add(time.Duration(float64(bytes) / q.bytesPerSecond * float64(time.Second)))
		at := q.freeAt
		q.mu.Unlock()
		return at
	}
}

// fill keeps the queue full with other traffic for the duration.
func (q *linkQueue) fill(duration time.Duration) {
	const packet = 1500
	for end := time.Now().Add(duration); time.Now().Before(end); {
		q.enqueue(packet)
	}
}

// fillNow fills the queue before it returns, and keeps it full for the duration.
func (q *linkQueue) fillNow(duration time.Duration) {
	q.enqueue(int(q.bytesPerSecond * q.limit.Seconds()))
	go q.fill(duration)
}

// to returns an address whose connections pass the link to the server.
func (l *slowLink) to(server netip.AddrPort) netip.AddrPort {
	return serveTCP(l.t, func(client net.Conn) {
		up, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.String())
		if err != nil {
			return
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.up.forward(client, up)
		}()
		l.down.forward(up, client)
		<-done
	})
}

// segment is what a connection received, and the time at which it has passed the link.
type segment struct {
	at    time.Time
	bytes []byte
}

// forward sends what the connection receives through the queue, and then its end.
func (q *linkQueue) forward(from, to net.Conn) {
	const window = 64
	segments := make(chan segment, window)
	go func() {
		defer close(segments)
		for {
			buffer := make([]byte, 1460)
			n, err := from.Read(buffer)
			if n > 0 {
				segments <- segment{at: q.enqueue(n), bytes: buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for s := range segments {
		time.Sleep(time.Until(s.at))
		if _, err := to.Write(s.bytes); err != nil {
			_ = from.Close()
		}
	}
	_ = to.Close()
}

// dialThrough makes the dials of the peer take a round trip on the link, as a handshake does.
func (l *slowLink) dialThrough(p *peer) {
	const handshake = 60
	dial := p.pool.transport.DialContext
	p.pool.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(time.Until(l.up.enqueue(handshake)))
		wait := time.NewTimer(time.Until(l.down.enqueue(handshake)))
		defer wait.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait.C:
			return dial(ctx, network, address)
		}
	}
}
