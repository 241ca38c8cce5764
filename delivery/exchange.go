package delivery

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// mux returns the handlers for the source's messages.
func (l *link) mux() *wire.Mux {
	mux := wire.NewMux()
	wire.Handle(mux, wire.MethodUpdate, func(ctx context.Context, p *wire.Peer, update wire.Update) (any, error) {
		l.heard()
		if resync := l.client.update(l.now(), update); resync != nil {
			return nil, l.resync(ctx, p, resync)
		}
		l.refusals.reset()
		if l.client.version() == l.acknowledged.Load() {
			return nil, nil
		}
		return nil, l.heartbeat(ctx, p)
	})
	wire.Handle(mux, wire.MethodHeartbeatReply, func(_ context.Context, _ *wire.Peer, beat wire.HeartbeatReply) (any, error) {
		l.heard()
		l.client.beat(l.start.Add(time.Duration(beat.Stamp)*time.Millisecond), beat)
		return nil, nil
	})
	return mux
}

// resync asks for what the client lacks. It waits first, so that an update that
// is refused again and again costs little.
func (l *link) resync(ctx context.Context, peer *wire.Peer, resync *wire.Resync) error {
	if err := sleep(ctx, min(l.refusals.next(), maxResyncWait)); err != nil {
		return err
	}
	return wire.Notify(ctx, peer, wire.MethodResync, resync)
}

func (l *link) heard() { l.heardAt.Store(int64(l.now().Sub(l.start))) }

// heartbeat acknowledges the version in force.
func (l *link) heartbeat(ctx context.Context, peer *wire.Peer) error {
	l.beatMu.Lock()
	defer l.beatMu.Unlock()
	beat := wire.Heartbeat{Version: l.client.version(), Stamp: l.now().Sub(l.start).Milliseconds()}
	l.acknowledged.Store(beat.Version)
	return wire.Notify(ctx, peer, wire.MethodHeartbeat, beat)
}

// serve keeps the session until it ends or another one is wanted.
func (l *link) serve(ctx, lasting context.Context, peer *wire.Peer, response wire.OpenResponse) error {
	l.ticket = 0
	l.heard()
	l.client.opened(l.now())
	_ = l.logger.Log("event", "source_found", "source", response.Source, "version", l.client.version())
	defer func() { l.client.closed(l.now()) }()
	if response.NeedGroups {
		if err := wire.Notify(lasting, peer, wire.MethodResync, l.client.resync()); err != nil {
			return err
		}
	}
	if err := l.heartbeat(lasting, peer); err != nil {
		return err
	}
	beats := time.NewTimer(l.nextBeat())
	defer beats.Stop()
	flushes := time.NewTicker(flushInterval)
	defer flushes.Stop()
	for {
		if err := l.flush(lasting, peer); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return l.goodbye(lasting, peer)
		case <-peer.Closed():
			return errClosed
		case <-l.wake:
			continue
		case <-flushes.C:
			continue
		case <-beats.C:
		}
		if err := l.check(); err != nil {
			return err
		}
		if err := l.heartbeat(lasting, peer); err != nil {
			return err
		}
		beats.Reset(l.nextBeat())
	}
}

// nextBeat spreads the heartbeats of many subscribers.
func (l *link) nextBeat() time.Duration {
	interval := l.timing.Heartbeat
	return interval*9/10 + time.Duration(l.random.Int64N(int64(interval/5)))
}

// check ends a session that is silent or no longer wanted.
func (l *link) check() error {
	now := l.now()
	if now.Sub(l.start)-time.Duration(l.heardAt.Load()) > l.timing.Silence {
		return errSilent
	}
	if !l.client.wantsSession() || l.client.dismisses(now) {
		sourcesRotated.Inc()
		return errDismiss
	}
	return nil
}

func (l *link) flush(ctx context.Context, peer *wire.Peer) error {
	for _, n := range l.client.outgoing(l.now()) {
		if err := wire.Notify(ctx, peer, n.method, n.message); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) goodbye(lasting context.Context, peer *wire.Peer) error {
	ctx, cancel := context.WithTimeout(lasting, goodbyeTimeout)
	defer cancel()
	if err := wire.Notify(ctx, peer, wire.MethodGoodbye, wire.Goodbye{}); err != nil {
		return err
	}
	select {
	case <-peer.Closed():
	case <-ctx.Done():
	}
	return errClosed
}
