package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// mux returns the handlers for messages from the source.
func (l *link) mux() *wire.Mux {
	mux := wire.NewMux()
	wire.Handle(mux, wire.MethodUpdate, func(ctx context.Context, p *wire.Peer, update wire.Update) (any, error) {
		l.markReceived()
		if resync := l.client.update(l.now(), update); resync != nil {
			return nil, l.resync(ctx, p, resync)
		}
		l.resyncBackoff.reset()
		if l.client.version() == l.acknowledged.Load() {
			return nil, nil
		}
		return nil, l.heartbeat(ctx, p)
	})
	wire.Handle(mux, wire.MethodHeartbeatReply, func(_ context.Context, _ *wire.Peer, reply wire.HeartbeatReply) (any, error) {
		l.markReceived()
		l.receiveReply(l.now(), reply)
		if reply.LeaseMs <= 0 {
			l.signal()
		}
		return nil, nil
	})
	wire.Handle(mux, wire.MethodBusy, func(context.Context, *wire.Peer, wire.Busy) (any, error) {
		l.markReceived()
		return nil, nil
	})
	wire.Handle(mux, wire.MethodRecorded, func(_ context.Context, _ *wire.Peer, recorded wire.Recorded) (any, error) {
		l.markReceived()
		l.client.recorded(wire.ToTargets(recorded.Targets))
		if len(recorded.Departed) > 0 {
			l.client.departed(wire.ToDepartures(recorded.Departed))
		}
		return nil, nil
	})
	return mux
}

// receiveReply passes the reply to the client. No heartbeat was sent in the future.
func (l *link) receiveReply(now time.Time, reply wire.HeartbeatReply) {
	sent := l.start.Add(fromMillis(reply.Stamp, now.Sub(l.start)))
	reply.LeaseMs = fromMillis(reply.LeaseMs, maxLease).Milliseconds()
	reply.ContactMs = fromMillis(reply.ContactMs, maxLease).Milliseconds()
	l.client.heartbeatReply(sent, reply)
}

// resync sends the resync after a wait that grows while updates are refused, so
// that repeated refusals cost little.
func (l *link) resync(ctx context.Context, peer *wire.Peer, resync *wire.Resync) error {
	if err := sleep(ctx, min(l.resyncBackoff.next(), maxResyncWait)); err != nil {
		return err
	}
	return wire.Notify(ctx, peer, wire.MethodResync, resync)
}

func (l *link) markReceived() { l.lastReceived.Store(int64(l.now().Sub(l.start))) }

// silence returns the time since the last sign of life of the source.
func (l *link) silence(now time.Time) time.Duration {
	return now.Sub(l.start) - time.Duration(l.lastReceived.Load())
}

// heartbeat sends a heartbeat that acknowledges the version in force.
func (l *link) heartbeat(ctx context.Context, peer *wire.Peer) error {
	l.heartbeatMu.Lock()
	defer l.heartbeatMu.Unlock()
	message := wire.Heartbeat{Version: l.client.version(), Stamp: l.now().Sub(l.start).Milliseconds()}
	l.acknowledged.Store(message.Version)
	return wire.Notify(ctx, peer, wire.MethodHeartbeat, message)
}

// serve maintains the session until it ends, the context ends, or the client
// requires no session or another source.
func (l *link) serve(ctx, connCtx context.Context, peer *wire.Peer, response wire.OpenResponse) error {
	l.ticket = 0
	l.partial = partialMessage{}
	l.markReceived()
	l.client.opened(l.now())
	_ = l.logger.Log("event", "source_found", "source", response.Source, "version", l.client.version())
	defer func() {
		now := l.now()
		l.lastSession = sessionEnd{silent: l.silence(now), unhandled: peer.Unhandled(), hasBacklog: peer.HasBacklog()}
		l.client.closed(now)
	}()
	if response.NeedGroups {
		if err := wire.Notify(connCtx, peer, wire.MethodResync, l.client.resync()); err != nil {
			return err
		}
	}
	l.askedAt = l.now()
	if err := l.heartbeat(connCtx, peer); err != nil {
		return err
	}
	heartbeats := time.NewTimer(l.nextHeartbeat())
	defer heartbeats.Stop()
	flushes := time.NewTicker(flushInterval)
	defer flushes.Stop()
	for {
		if err := l.flush(connCtx, peer); err != nil {
			return err
		}
		isHeartbeatDue := false
		select {
		case <-ctx.Done():
			return l.sendGoodbye(connCtx, peer)
		case <-peer.Closed():
			return errClosed
		case <-l.wake:
		case <-flushes.C:
			continue
		case <-heartbeats.C:
			isHeartbeatDue = true
		}
		if err := l.checkSession(l.now(), peer); errors.Is(err, errLocalSource) {
			return l.announceMove(connCtx, peer)
		} else if err != nil {
			return err
		}
		if !isHeartbeatDue {
			continue
		}
		l.askedAt = l.now()
		if err := l.heartbeat(connCtx, peer); err != nil {
			return err
		}
		heartbeats.Reset(l.nextHeartbeat())
	}
}

// nextHeartbeat returns the time to the next heartbeat, with jitter that
// spreads the heartbeats of many subscribers.
func (l *link) nextHeartbeat() time.Duration {
	interval := l.timing.HeartbeatInterval
	return interval*9/10 + time.Duration(l.random.Int64N(int64(interval/5)))
}

// checkSession returns an error if the source is silent, if the client requires no
// session or another source, or if a local source is preferred.
func (l *link) checkSession(now time.Time, peer *wire.Peer) error {
	if l.isSilent(now, peer) {
		return errSilent
	}
	if !l.client.needsSession() || l.client.shouldSwitch(now) {
		sourcesSwitched.Inc()
		return errSessionEnded
	}
	if l.prefersLocal(now) {
		sourcesSwitched.Inc()
		return errLocalSource
	}
	return nil
}

// isSilent reports whether nothing has arrived from the source for the silence timeout. The
// bytes of a message that has not arrived as a whole are signs of life. A source that this
// process has not sent a heartbeat for a while, because it did not run, is asked first.
func (l *link) isSilent(now time.Time, peer *wire.Peer) bool {
	if l.partial.hasGrown(peer) {
		l.lastReceived.Store(int64(now.Sub(l.start)))
	}
	hasAsked := now.Sub(l.askedAt) <= 2*l.timing.HeartbeatInterval
	// A message that is handled meanwhile counts, since the time is looked up last.
	return hasAsked && !peer.HasBacklog() && l.silence(now) > l.timing.SilenceTimeout
}

func (l *link) flush(ctx context.Context, peer *wire.Peer) error {
	for _, n := range l.client.outgoing(l.now()) {
		if err := wire.Notify(ctx, peer, n.method, n.message); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) sendGoodbye(connCtx context.Context, peer *wire.Peer) error {
	if err := sendLast(connCtx, peer, wire.MethodGoodbye, wire.Goodbye{}); err != nil {
		return err
	}
	return errClosed
}

// announceMove tells the source that the next session is with another source, so that
// the leader does not count the proxy as silent meanwhile.
func (l *link) announceMove(connCtx context.Context, peer *wire.Peer) error {
	if err := sendLast(connCtx, peer, wire.MethodMoving, wire.Moving{}); err != nil {
		return err
	}
	return errLocalSource
}

// sendLast sends the last message of a session and waits until the source closes the
// connection, for at most goodbyeTimeout. A close by this end might discard the
// message.
func sendLast[T any](connCtx context.Context, peer *wire.Peer, method string, message T) error {
	ctx, cancel := context.WithTimeout(connCtx, goodbyeTimeout)
	defer cancel()
	if err := wire.Notify(ctx, peer, method, message); err != nil {
		return err
	}
	select {
	case <-peer.Closed():
	case <-ctx.Done():
	}
	return nil
}
