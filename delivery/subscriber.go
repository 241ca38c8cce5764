package delivery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// announceInterval is the interval at which announcements are repeated.
	announceInterval = 30 * time.Second
)

// SubscriberOptions are the options of a Subscriber.
type SubscriberOptions struct {
	ID, Zone string
	// Address is the address at which the proxy accepts calls from other
	// proxies.
	Address netip.AddrPort
	// Sources are the addresses of sources. These and the ones that a source
	// sends are tried in turn, starting with a random one.
	Sources []netip.AddrPort
	// Interests are the services that the proxy's callers use; empty means all.
	Interests []string
	// Apply applies the complete state. If it returns an error, the update is
	// refused and the previous state stays in force. Calls do not overlap.
	Apply func(now time.Time, update Update) error
	// Evidence returns the observations since the last call. It may be nil.
	Evidence func() []hornbeamwell.Observation
	// Recorded is called with what the source has of targets that were announced to
	// it. It may be nil.
	Recorded func(targets []hornbeamwell.Target)
	// Departed is called with the departures of announced targets that the ledger has. It
	// may be nil.
	Departed func(departures []hornbeamwell.Departure)
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	Logger log.Logger
	Now    func() time.Time
	Rand   *rand.Rand
}

// Subscriber synchronizes the state of a proxy with a source. It is safe for
// concurrent use.
type Subscriber struct {
	options SubscriberOptions
	link    *link
	lease   shareLease

	// updateMu keeps updates, and requests and resyncs that say what is in force, one after
	// the other. It is held while an update is applied, mu is not: heartbeats go on
	// meanwhile. It is locked before mu.
	updateMu sync.Mutex

	mu sync.Mutex
	// interests are the sorted services that the proxy's callers use; empty
	// means all. It is guarded by mu.
	interests []string
	// interestsPending is true until the interests have been sent. It is
	// guarded by mu.
	interestsPending bool
	// replica is the state in force. It is changed with both mutexes held and read with
	// either.
	replica replica
	// refused is the last version that Apply refused. It is guarded by mu.
	refused uint64
	// targets are the targets to announce, by ID. It is guarded by mu.
	targets map[string]hornbeamwell.Target
	// announcePending is true if an announcement has not been sent. It is
	// guarded by mu.
	announcePending bool
	// announcedAt and evidenceAt are the times at which announcements and
	// observations were last collected to be sent. They are guarded by mu.
	announcedAt, evidenceAt time.Time
	// openedAt is the time at which the last session was opened. It is guarded
	// by mu.
	openedAt time.Time
	// answeredAt is the time at which the last heartbeat that was answered in this session
	// was sent, zero before the first answer. It is guarded by mu.
	answeredAt time.Time
	// contact is what the last answer says of the source's contact with the leader. It is
	// guarded by mu.
	contact leaderContact
	// behindAllowance is the time for which the source of this session may be behind after
	// the share lease has ended. It is guarded by mu.
	behindAllowance time.Duration
	// staleAfter is the age of a session from which its source is replaced if
	// the lease has ended. It is guarded by mu.
	staleAfter time.Duration
	// configuredSources are the sources from the options or the last call of
	// SetSources, learnedSources those that a source sent last, and localSources
	// those of the learned ones in this proxy's zone. They are guarded by mu.
	configuredSources, learnedSources, localSources []netip.AddrPort
}

// leaderContact is the contact of a source with the leader.
type leaderContact int

const (
	noContact leaderContact = iota
	// behindLeader means that the source has no share lease, because its configuration is
	// behind the leader's.
	behindLeader
	// upToDate means that the source has a share lease.
	upToDate
)

func contactOf(reply wire.HeartbeatReply) leaderContact {
	switch {
	case reply.LeaseMs > 0:
		return upToDate
	case reply.ContactMs > 0:
		return behindLeader
	default:
		return noContact
	}
}

// NewSubscriber returns a subscriber without a session.
func NewSubscriber(options SubscriberOptions) *Subscriber {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	options.Timing = options.Timing.orDefault()
	s := &Subscriber{
		options:           options,
		interests:         slices.Sorted(slices.Values(options.Interests)),
		replica:           newReplica(),
		targets:           map[string]hornbeamwell.Target{},
		staleAfter:        options.Timing.StaleAfter,
		configuredSources: options.Sources,
	}
	s.link = newLink(s, s.sources, options.Timing, options.Now, options.Rand, options.Logger)
	s.link.local = s.sourcesInZone
	return s
}

// SetSources replaces the configured sources. An open session is kept.
func (s *Subscriber) SetSources(sources []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuredSources = sources
}

// sources returns the configured sources and then the learned ones that are not
// among them.
func (s *Subscriber) sources() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := slices.Clone(s.configuredSources)
	for _, source := range s.learnedSources {
		if !slices.Contains(known, source) {
			known = append(known, source)
		}
	}
	return known
}

// sourcesInZone returns the learned sources in this proxy's zone.
func (s *Subscriber) sourcesInZone() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.localSources
}

// Run keeps a session open until the context ends, then sends a goodbye.
func (s *Subscriber) Run(ctx context.Context) error { return s.link.run(ctx) }

// Announce announces the target in the current session and in every later one.
// It ignores an announcement that is older than the last one of the target.
func (s *Subscriber) Announce(t hornbeamwell.Target) {
	s.mu.Lock()
	if known, found := s.targets[t.ID]; !found || !known.IsNewer(&t) {
		s.targets[t.ID] = t
		s.announcePending = true
	}
	s.mu.Unlock()
	s.link.signal()
}

// AddInterest adds a service to the interests. It has no effect if the proxy
// receives every service.
func (s *Subscriber) AddInterest(service string) {
	s.mu.Lock()
	i, known := slices.BinarySearch(s.interests, service)
	if len(s.interests) > 0 && !known {
		s.interests = slices.Insert(slices.Clone(s.interests), i, service)
		s.interestsPending = true
	}
	s.mu.Unlock()
	s.link.signal()
}

// ShareLeaseUntil returns the time until which the state in force is known to
// follow the leader's, and until which the shares of canary versions may be
// used.
func (s *Subscriber) ShareLeaseUntil() time.Time { return s.lease.end() }

// request implements client.
func (s *Subscriber) request() wire.OpenRequest {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interestsPending = false
	return s.replica.openRequest(wire.OpenRequest{
		ID:        s.options.ID,
		Zone:      s.options.Zone,
		Role:      wire.RoleProxy,
		Address:   wire.FromAddress(s.options.Address),
		Interests: s.interests,
	})
}

// opened implements client.
func (s *Subscriber) opened(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcePending = len(s.targets) > 0
	s.openedAt, s.answeredAt = now, time.Time{}
	s.contact = noContact
	half := s.options.Timing.ShareLease / 2
	s.behindAllowance = half + time.Duration(s.options.Rand.Int64N(int64(half)))
}

// closed implements client.
func (s *Subscriber) closed(time.Time) {}

// update implements client.
func (s *Subscriber) update(now time.Time, update wire.Update) *wire.Resync {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	next, err := s.replica.receive(update)
	if err == nil {
		err = s.apply(now, next)
	}
	var stale *StaleVersionError
	switch {
	case err == nil, errors.Is(err, errStaleRound):
		return nil
	case errors.As(err, &stale):
		staleVersionsRefused.Inc()
	}
	updatesRefused.Inc()
	_ = s.options.Logger.Log("msg", "update refused", "err", err)
	return s.startResync()
}

// startResync starts a round. The caller holds updateMu.
func (s *Subscriber) startResync() *wire.Resync {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.resync(s.refused)
}

// apply applies the state and stores it as the one in force. The caller holds updateMu.
func (s *Subscriber) apply(now time.Time, next *subscriberState) error {
	before, after := s.replica.state.decoded.Configuration, next.decoded.Configuration
	if after.Version < before.Version {
		hornbeamwell.ReportViolation("proxy_version_never_decreases", "version %d after %d", after.Version, before.Version)
	}
	if err := next.configuration.checkRoutes(); err != nil {
		hornbeamwell.ReportViolation("route_has_its_service", "%v", err)
	}
	if err := s.options.Apply(now, next.decoded); err != nil {
		if after.Version > before.Version {
			s.setRefused(uint64(after.Version))
		}
		return err
	}
	s.setState(next)
	if after.Version > before.Version {
		_ = s.options.Logger.Log("event", "config_in_force", "config", after.Version, "before", before.Version)
	}
	return nil
}

func (s *Subscriber) setRefused(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = version
}

func (s *Subscriber) setState(next *subscriberState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica.state = next
}

// resync implements client.
func (s *Subscriber) resync() wire.Resync {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	return *s.startResync()
}

// heartbeatReply implements client. A reply with a newer version than the one
// in force does not extend the lease.
func (s *Subscriber) heartbeatReply(sent time.Time, reply wire.HeartbeatReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = sent
	s.contact = contactOf(reply)
	if len(reply.Sources) > 0 {
		s.learnedSources = wire.ToAddresses(reply.Sources)
		s.localSources = s.learnedSources[:min(max(reply.LocalSources, 0), len(s.learnedSources))]
	}
	if reply.LeaseMs <= 0 || reply.Version > s.replica.state.configuration.version {
		return
	}
	s.staleAfter = s.options.Timing.StaleAfter
	s.lease.extend(sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond))
}

// recorded implements client.
func (s *Subscriber) recorded(targets []hornbeamwell.Target) {
	if s.options.Recorded != nil {
		s.options.Recorded(targets)
	}
}

// departed implements client.
func (s *Subscriber) departed(departures []hornbeamwell.Departure) {
	if s.options.Departed != nil {
		s.options.Departed(departures)
	}
}

// version implements client.
func (s *Subscriber) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.state.configuration.version
}

// needsSession implements client.
func (s *Subscriber) needsSession() bool { return true }

// shouldSwitch implements client. A source without contact with the leader is
// replaced by another one after a time that grows while no source has contact. That the
// lease has ended says nothing about the source before it has answered a heartbeat that was
// sent after the end: until then the answer may wait behind an update. A source that is up
// to date is kept by a proxy that has refused its configuration: all sources have the same.
func (s *Subscriber) shouldSwitch(now time.Time) bool {
	hasOthers := len(s.sources()) > 1
	s.mu.Lock()
	defer s.mu.Unlock()
	staleAt := s.staleAt()
	if !hasOthers || now.Sub(s.openedAt) < s.staleAfter || now.Before(staleAt) {
		return false
	}
	if s.answeredAt.IsZero() || s.answeredAt.Before(staleAt) || s.contact == upToDate {
		return false
	}
	s.staleAfter = min(2*s.staleAfter, s.options.Timing.MaxStaleAfter)
	return true
}

// staleAt returns the time from which an answer without a lease means that the source is to
// be replaced. A source that is in contact with the leader has some time to receive its
// configuration, and its subscribers leave one after the other. The caller holds mu.
func (s *Subscriber) staleAt() time.Time {
	leaseEnd := s.lease.end()
	switch {
	case s.contact != behindLeader:
		return leaseEnd
	case leaseEnd.Before(s.openedAt):
		return s.openedAt.Add(s.behindAllowance)
	default:
		return leaseEnd.Add(s.behindAllowance)
	}
}

// outgoing implements client.
func (s *Subscriber) outgoing(now time.Time) []notification {
	var out []notification
	if interests := s.takeInterests(); len(interests) > 0 {
		out = append(out, notification{wire.MethodInterests, wire.Interests{Services: interests}})
	}
	if announce := s.takeAnnouncements(now); len(announce) > 0 {
		out = append(out, notification{wire.MethodAnnounce, wire.Announce{Targets: wire.FromTargets(announce)}})
	}
	if evidence := s.takeEvidence(now); len(evidence) > 0 {
		out = append(out, notification{wire.MethodEvidence, wire.Evidence{Observations: wire.FromObservations(evidence)}})
	}
	return out
}

func (s *Subscriber) takeInterests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.interestsPending {
		return nil
	}
	s.interestsPending = false
	return s.interests
}

func (s *Subscriber) takeAnnouncements(now time.Time) []hornbeamwell.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.announcePending && now.Sub(s.announcedAt) < announceInterval {
		return nil
	}
	s.announcePending = false
	s.announcedAt = now
	targets := make([]hornbeamwell.Target, 0, len(s.targets))
	for _, t := range s.targets {
		targets = append(targets, t)
	}
	return targets
}

func (s *Subscriber) takeEvidence(now time.Time) []hornbeamwell.Observation {
	if s.options.Evidence == nil {
		return nil
	}
	s.mu.Lock()
	due := now.Sub(s.evidenceAt) >= s.options.Timing.EvidenceInterval
	if due {
		s.evidenceAt = now
	}
	s.mu.Unlock()
	if !due {
		return nil
	}
	return s.options.Evidence()
}
