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
	// announceInterval is the time after which announcements are sent again.
	announceInterval = 30 * time.Second
)

// SubscriberOptions configure a Subscriber.
type SubscriberOptions struct {
	ID, Zone string
	// Address is where the proxy takes calls from other proxies.
	Address netip.AddrPort
	// Sources and those that a source names are tried in turn, from a random
	// one on.
	Sources []netip.AddrPort
	// Interests are the services of the proxy's callers; none means all.
	Interests []string
	// Apply puts the whole state into force. An error refuses it whole, and
	// the state before stays in force. Calls do not overlap.
	Apply func(now time.Time, update Update) error
	// Evidence returns the observations since its last call. It may be nil.
	Evidence func() []hornbeamwell.Observation
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	Logger log.Logger
	Now    func() time.Time
	Rand   *rand.Rand
}

// Subscriber keeps the state of a proxy in step with a source. It is safe for
// concurrent use.
type Subscriber struct {
	options SubscriberOptions
	link    *link
	lease   leaderLease

	mu sync.Mutex
	// interests are the services of the proxy's callers, sorted; none means
	// all. It is guarded by mu.
	interests []string
	// newInterests is true until the source knows the interests. It is guarded
	// by mu.
	newInterests bool
	// replica is the state in force. It is guarded by mu.
	replica replica
	// refused is the last version that Apply refused. It is guarded by mu.
	refused uint64
	// targets are the announcements to make, by id. It is guarded by mu.
	targets map[string]hornbeamwell.Target
	// unsent is true where an announcement changed. It is guarded by mu.
	unsent bool
	// announcedAt and evidenceAt are the times of the last messages. They are
	// guarded by mu.
	announcedAt, evidenceAt time.Time
	// openedAt is the time of the last session. It is guarded by mu.
	openedAt time.Time
	// stale is the patience with a source that has no contact with the
	// leader. It is guarded by mu.
	stale time.Duration
	// known are the sources given, learned those that the last source named.
	// They are guarded by mu.
	known, learned []netip.AddrPort
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
		options:   options,
		interests: slices.Sorted(slices.Values(options.Interests)),
		replica:   newReplica(),
		targets:   map[string]hornbeamwell.Target{},
		stale:     options.Timing.Stale,
		known:     options.Sources,
	}
	s.link = newLink(s, s.sources, options.Timing, options.Now, options.Rand, options.Logger)
	return s
}

// SetSources replaces the sources that are known beforehand. The session goes
// on.
func (s *Subscriber) SetSources(sources []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = sources
}

// sources returns the known sources, each once.
func (s *Subscriber) sources() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := slices.Clone(s.known)
	for _, source := range s.learned {
		if !slices.Contains(known, source) {
			known = append(known, source)
		}
	}
	return known
}

// Run keeps a session until the context ends, then says goodbye.
func (s *Subscriber) Run(ctx context.Context) error { return s.link.run(ctx) }

// Announce makes the target known to control, now and in every later session.
func (s *Subscriber) Announce(t hornbeamwell.Target) {
	s.mu.Lock()
	if known, found := s.targets[t.ID]; !found || !known.IsNewer(&t) {
		s.targets[t.ID] = t
		s.unsent = true
	}
	s.mu.Unlock()
	s.link.signal()
}

// AddInterest adds a service to those of the proxy's callers. It changes
// nothing where the proxy holds every service anyway.
func (s *Subscriber) AddInterest(service string) {
	s.mu.Lock()
	i, known := slices.BinarySearch(s.interests, service)
	if len(s.interests) > 0 && !known {
		s.interests = slices.Insert(slices.Clone(s.interests), i, service)
		s.newInterests = true
	}
	s.mu.Unlock()
	s.link.signal()
}

// ShareLeaseUntil returns the time until which shares of unproved versions may
// be used: the state in force is known to follow the leader's until then.
func (s *Subscriber) ShareLeaseUntil() time.Time { return s.lease.end() }

// request implements client.
func (s *Subscriber) request() wire.OpenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newInterests = false
	return s.replica.open(wire.OpenRequest{
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
	s.unsent = len(s.targets) > 0
	s.openedAt = now
}

// closed implements client.
func (s *Subscriber) closed(time.Time) {}

// update implements client.
func (s *Subscriber) update(now time.Time, update wire.Update) *wire.Resync {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.replica.receive(update)
	if err == nil {
		err = s.apply(now, next)
	}
	var older *OlderVersionError
	switch {
	case err == nil, errors.Is(err, errPassedOver):
		return nil
	case errors.As(err, &older):
		olderRefused.Inc()
	}
	updatesRefused.Inc()
	_ = s.options.Logger.Log("msg", "update refused", "err", err)
	return s.replica.resync(s.refused)
}

// apply puts the state into force.
func (s *Subscriber) apply(now time.Time, next *heldState) error {
	before, after := s.replica.held.decoded.Configuration, next.decoded.Configuration
	if after.Version < before.Version {
		hornbeamwell.ReportViolation("proxy_version_never_decreases", "version %d after %d", after.Version, before.Version)
	}
	if err := next.configuration.checkRoutes(); err != nil {
		hornbeamwell.ReportViolation("route_has_its_service", "%v", err)
	}
	if err := s.options.Apply(now, next.decoded); err != nil {
		if after.Version > before.Version {
			s.refused = uint64(after.Version)
		}
		return err
	}
	s.replica.held = next
	if after.Version > before.Version {
		_ = s.options.Logger.Log("event", "config_in_force", "config", after.Version, "before", before.Version)
	}
	return nil
}

// resync implements client.
func (s *Subscriber) resync() wire.Resync {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.replica.resync(s.refused)
}

// beat implements client. A beat that names a newer version than the one in
// force does not extend the lease.
func (s *Subscriber) beat(sent time.Time, beat wire.HeartbeatReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(beat.Sources) > 0 {
		s.learned = wire.ToAddresses(beat.Sources)
	}
	if beat.LeaseMs <= 0 || beat.Version > s.replica.held.configuration.version {
		return
	}
	s.stale = s.options.Timing.Stale
	s.lease.extend(sent.Add(time.Duration(beat.LeaseMs) * time.Millisecond))
}

// version implements client.
func (s *Subscriber) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.held.configuration.version
}

// wantsSession implements client.
func (s *Subscriber) wantsSession() bool { return true }

// dismisses implements client. A source without contact with the leader is
// left for another one, after a time that grows while none has contact.
func (s *Subscriber) dismisses(now time.Time) bool {
	hasOthers := len(s.sources()) > 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if !hasOthers || now.Sub(s.openedAt) < s.stale || now.Before(s.lease.end()) {
		return false
	}
	s.stale = min(2*s.stale, s.options.Timing.LongestStale)
	return true
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
	if !s.newInterests {
		return nil
	}
	s.newInterests = false
	return s.interests
}

func (s *Subscriber) takeAnnouncements(now time.Time) []hornbeamwell.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unsent && now.Sub(s.announcedAt) < announceInterval {
		return nil
	}
	s.unsent = false
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
	due := now.Sub(s.evidenceAt) >= s.options.Timing.Evidence
	if due {
		s.evidenceAt = now
	}
	s.mu.Unlock()
	if !due {
		return nil
	}
	return s.options.Evidence()
}
