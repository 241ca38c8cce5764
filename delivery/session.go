package delivery

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// session is the source's end of a session. Its writer goroutine sends the
// newest desired state and skips intermediate states, so that its memory is
// bounded while the subscriber is slow.
type session struct {
	request wire.OpenRequest
	peer    *wire.Peer
	// acknowledged is the configuration version in force at the subscriber.
	acknowledged atomic.Uint64
	// lastContact is the time of the subscriber's last message, or of the last check that
	// found more bytes of the next one, in ns since 1970.
	lastContact atomic.Int64
	// partial is the message that is being received. It belongs to the goroutine of the
	// loop.
	partial partialMessage
	// isReceiving is set until the subscriber has been told that its message arrives.
	isReceiving atomic.Bool
	// saidGoodbye is set if the subscriber sent a goodbye.
	saidGoodbye atomic.Bool
	// isMoving is set if the subscriber announced that it opens a session with
	// another source.
	isMoving atomic.Bool
	wake     chan struct{}
	// published is the configuration version of desired.
	published atomic.Uint64
	// isBuilding is true while an update is built, which delays the replies to heartbeats.
	isBuilding atomic.Bool

	replyMu sync.Mutex
	// reply is the pending reply to the last heartbeat, nil if none. It is
	// guarded by replyMu.
	reply *wire.HeartbeatReply
	// recorded are the targets of the subscriber to report as recorded, by ID. It is
	// guarded by replyMu.
	recorded map[string]hornbeamwell.Target
	// departed are the departures of targets of the subscriber to report, by ID. It is
	// guarded by replyMu.
	departed map[string]hornbeamwell.Departure
	// sentSources are the sources last sent. It is guarded by replyMu.
	sentSources []SourceAddress

	// mu is held while an update is built.
	mu sync.Mutex
	// interests are the services that the proxy's callers use; empty means all.
	// It is guarded by mu.
	interests []string
	// services are the services of the closure last sent, empty before the
	// first and for the full configuration. It is guarded by mu.
	services []string
	// desired is the state that the subscriber should have. It is guarded by
	// mu.
	desired desiredState
	// sent is the state that the subscriber has after reading everything that
	// was sent. It is guarded by mu.
	sent sentState
	// round is the round of the last request or resync. It is guarded by mu.
	round uint64
	// awaitingGroups delays updates until the subscriber has sent the digests
	// of its state. It is guarded by mu.
	awaitingGroups bool
}

// desiredState is the state that a source publishes to its sessions.
type desiredState struct {
	configuration *configSnapshot
	presence      *presenceSnapshot
	// proxies is nil except at the leader, which sends it to followers.
	proxies *view
}

// sentState is the state that the subscriber was sent, nil where it has none or
// it is unknown. Views are outlines, since a slow subscriber must not keep what is past.
type sentState struct {
	configuration, presence, proxies *view
	// version is the highest configuration version that the subscriber has.
	version uint64
	// refused is the highest configuration version that the subscriber could
	// not apply, 0 for none.
	refused uint64
}

// sessionKey identifies a session. The proxy and the source of one process have
// the same ID.
type sessionKey struct {
	isProxy bool
	id      string
}

func newSession(now time.Time, peer *wire.Peer, request wire.OpenRequest) *session {
	s := &session{request: request, peer: peer, wake: make(chan struct{}, 1), interests: request.Interests, round: request.Round}
	s.acknowledged.Store(request.Configuration.Version)
	s.sent.version = request.Configuration.Version
	s.touch(now)
	return s
}

func (s *session) touch(now time.Time) { s.lastContact.Store(now.UnixNano()) }

// isSilent reports whether the last contact is older than the timeout.
func (s *session) isSilent(now time.Time, timeout time.Duration) bool {
	return now.Sub(time.Unix(0, s.lastContact.Load())) > timeout
}

func (s *session) key() sessionKey { return sessionKey{s.isProxy(), s.request.ID} }

// sessionID identifies the session to the membership of targets.
func (s *session) sessionID() target.SessionID {
	return target.SessionID(s.request.Role + "/" + s.request.ID)
}

func (s *session) isProxy() bool { return s.request.Role == wire.RoleProxy }

func (s *session) receivesConfiguration() bool { return s.request.Role != wire.RoleFollower }

func (s *session) receivesAllTargets() bool { return !s.isProxy() || len(s.interests) == 0 }

func (s *session) setInterests(services []string) {
	s.mu.Lock()
	s.interests = services
	s.mu.Unlock()
	s.signal()
}

// setDesired sets the state to send.
func (s *session) setDesired(state desiredState) {
	s.mu.Lock()
	isAffected := s.isAffected(state)
	s.storeDesired(state)
	s.mu.Unlock()
	if isAffected {
		s.signal()
	}
}

// storeDesired sets the state to send. The caller holds mu.
func (s *session) storeDesired(state desiredState) {
	s.desired = state
	if state.configuration != nil {
		s.published.Store(state.configuration.full.version)
	}
}

// isAffected reports whether the state may differ, for this subscriber, from
// the current desired state.
func (s *session) isAffected(state desiredState) bool {
	if s.desired.configuration != state.configuration {
		return true
	}
	if s.request.Role == wire.RoleFollower && s.desired.proxies != state.proxies {
		return true
	}
	if s.desired.presence == state.presence {
		return false
	}
	if s.receivesAllTargets() || len(s.services) == 0 {
		return true
	}
	return slices.ContainsFunc(s.services, func(name string) bool { return state.presence.changed[name] })
}

// replyToHeartbeat queues the reply to a heartbeat with the remaining share
// lease or, without one, the remaining contact with the leader.
func (s *session) replyToHeartbeat(now time.Time, stamp int64, lease, contact *shareLease, sources []SourceAddress) {
	reply := wire.HeartbeatReply{Stamp: stamp, LeaseMs: lease.remaining(now).Milliseconds(), Version: s.published.Load()}
	if reply.LeaseMs == 0 {
		reply.ContactMs = contact.remaining(now).Milliseconds()
	}
	s.replyMu.Lock()
	if s.isProxy() && !slices.Equal(s.sentSources, sources) {
		s.sentSources = sources
		reply.Sources, reply.LocalSources = localFirst(s.request.Zone, sources)
	}
	s.replyMu.Unlock()
	s.setReply(reply)
}

// localFirst returns the addresses of the sources, those in the zone first, and the
// number of these.
func localFirst(zone string, sources []SourceAddress) (addresses []string, local int) {
	for _, source := range sources {
		address := wire.FromAddress(source.Address)
		if zone == "" || source.Zone != zone {
			addresses = append(addresses, address)
			continue
		}
		addresses = slices.Insert(addresses, local, address)
		local++
	}
	return addresses, local
}

// setReply sets the heartbeat reply to send. Source addresses in a reply that it
// replaces are kept.
func (s *session) setReply(reply wire.HeartbeatReply) {
	s.replyMu.Lock()
	if s.reply != nil && len(reply.Sources) == 0 {
		reply.Sources, reply.LocalSources = s.reply.Sources, s.reply.LocalSources
	}
	s.reply = &reply
	s.replyMu.Unlock()
	s.signal()
}

// reportReceiving tells the subscriber that the bytes of a message arrive.
func (s *session) reportReceiving() {
	s.isReceiving.Store(true)
	s.signal()
}

// reportRecorded tells the subscriber what this source has of its targets.
func (s *session) reportRecorded(targets []hornbeamwell.Target) {
	s.replyMu.Lock()
	if s.recorded == nil {
		s.recorded = make(map[string]hornbeamwell.Target, len(targets))
	}
	for _, t := range targets {
		s.recorded[t.ID] = t
	}
	s.replyMu.Unlock()
	s.signal()
}

// reportDeparted tells the subscriber which departures of its targets the ledger has.
func (s *session) reportDeparted(departures []hornbeamwell.Departure) {
	if len(departures) == 0 {
		return
	}
	s.replyMu.Lock()
	if s.departed == nil {
		s.departed = make(map[string]hornbeamwell.Departure, len(departures))
	}
	for _, d := range departures {
		s.departed[d.Target.ID] = d
	}
	s.replyMu.Unlock()
	s.signal()
}

func (s *session) takeRecorded() (recorded []hornbeamwell.Target, departed []hornbeamwell.Departure) {
	s.replyMu.Lock()
	defer s.replyMu.Unlock()
	recorded, departed = slices.Collect(maps.Values(s.recorded)), slices.Collect(maps.Values(s.departed))
	s.recorded, s.departed = nil, nil
	return recorded, departed
}

func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// applyResync records the subscriber's state and allows updates to be sent.
func (s *session) applyResync(resync wire.Resync) {
	s.mu.Lock()
	s.round = resync.Round
	s.sent.configuration = digestView(resync.Configuration)
	s.sent.presence = digestView(resync.Presence)
	s.sent.proxies = nil
	s.sent.refused = max(s.sent.refused, resync.Refused)
	s.awaitingGroups = false
	s.mu.Unlock()
	s.signal()
}

// digestView returns a view that consists of digests alone, nil if there are
// none.
func digestView(digests []wire.GroupDigest) *view {
	if len(digests) == 0 {
		return nil
	}
	groups := make([]*group, 0, len(digests))
	for _, d := range digests {
		groups = append(groups, &group{service: d.Service, digest: d.Digest, digestOnly: true})
	}
	return newView(0, 0, groups).outlined()
}

// runWriter sends pending messages until the context or the connection ends. It
// closes the connection if a message cannot be sent.
func (s *session) runWriter(ctx context.Context, builder *updateBuilder) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.peer.Closed():
			return
		case <-s.wake:
		}
		if err := s.flush(ctx, builder); err != nil {
			_ = s.peer.Close()
			return
		}
	}
}

// flush sends the update before the heartbeat reply, so that the subscriber
// already has the version that the reply contains.
func (s *session) flush(ctx context.Context, builder *updateBuilder) error {
	if s.isReceiving.Swap(false) {
		if err := wire.Notify(ctx, s.peer, wire.MethodBusy, wire.Busy{}); err != nil {
			return err
		}
	}
	if recorded, departed := s.takeRecorded(); len(recorded)+len(departed) > 0 {
		message := wire.Recorded{Targets: wire.FromTargets(recorded), Departed: wire.FromDepartures(departed)}
		if err := wire.Notify(ctx, s.peer, wire.MethodRecorded, message); err != nil {
			return err
		}
	}
	update, reply := s.takePending(builder)
	if update != nil {
		updatesSent.Inc()
		if err := wire.Notify(ctx, s.peer, wire.MethodUpdate, update); err != nil {
			return err
		}
	}
	if reply != nil {
		return wire.Notify(ctx, s.peer, wire.MethodHeartbeatReply, reply)
	}
	return nil
}

func (s *session) takeReply() *wire.HeartbeatReply {
	s.replyMu.Lock()
	defer s.replyMu.Unlock()
	reply := s.reply
	s.reply = nil
	return reply
}

// takePending returns the messages to send and records them as sent. The reply is taken
// first, so that the update has the version that it names.
func (s *session) takePending(builder *updateBuilder) (*wire.Update, *wire.HeartbeatReply) {
	reply := s.takeReply()
	s.isBuilding.Store(true)
	defer s.isBuilding.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaitingGroups || s.desired.configuration == nil {
		return nil, reply
	}
	update, sent := builder.build(s, s.sent, s.desired)
	s.sent = sent
	return update, reply
}

// status returns the status of the proxy or source at the other end.
func (s *session) status() hornbeamwell.ProxyStatus {
	return hornbeamwell.ProxyStatus{
		ID:          s.request.ID,
		Zone:        s.request.Zone,
		Address:     wire.ToAddress(s.request.Address),
		InForce:     hornbeamwell.ConfigVersion(s.acknowledged.Load()),
		LastContact: time.Unix(0, s.lastContact.Load()),
	}
}
