package delivery

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// stream runs the sessions of one subscriber over a network that drops,
// duplicates, delays and reorders updates.
type stream struct {
	interests []string
	snapshot  *configSnapshot
	// outline is that of the configuration before.
	outline  *configOutline
	presence *presenceBuilder
	desired  desiredState
	version  int
	// published holds each configuration by version.
	published map[hornbeamwell.ConfigVersion]*hornbeamwell.Configuration
	targets   map[string]hornbeamwell.Target
	session   *session
	updates   *updateBuilder
	receiver  *Subscriber
	applied   Update
	refuse    bool
	inFlight  []wire.Update
}

func newStream(t *rapid.T) *stream {
	s := &stream{
		presence:  newPresenceBuilder(1),
		published: map[hornbeamwell.ConfigVersion]*hornbeamwell.Configuration{},
		targets:   map[string]hornbeamwell.Target{},
		updates:   newUpdateBuilder(defaultPartBytes),
	}
	if rapid.Bool().Draw(t, "has interests") {
		s.interests = []string{"s1", "s3"}
	}
	s.receiver = NewSubscriber(SubscriberOptions{ID: "p", Interests: s.interests, Apply: s.apply})
	s.publish(t)
	s.session = newSession(time.Now(), nil, s.receiver.request())
	s.session.setDesired(s.desired)
	return s
}

// apply checks that the configuration equals the published one of its version
// or, with interests, that each of its routes does.
func (s *stream) apply(_ time.Time, update Update) error {
	if s.refuse {
		return fmt.Errorf("refused by the test")
	}
	want, found := s.published[update.Configuration.Version]
	if !found && update.Configuration.Version > 0 {
		panic(fmt.Sprintf("version %d was never published", update.Configuration.Version))
	}
	if found && len(s.interests) == 0 && !reflect.DeepEqual(want, update.Configuration) {
		panic(fmt.Sprintf("version %d differs from the one published", update.Configuration.Version))
	}
	if found && !slices.Equal(want.Evacuations, update.Configuration.Evacuations) {
		panic(fmt.Sprintf("the evacuations of version %d differ from those published", update.Configuration.Version))
	}
	for _, r := range update.Configuration.Routes {
		if !slices.ContainsFunc(want.Routes, func(o hornbeamwell.Route) bool { return reflect.DeepEqual(o, r) }) {
			panic(fmt.Sprintf("route %s of version %d differs from the one published", r.Name, update.Configuration.Version))
		}
	}
	s.applied = update
	return nil
}

func (s *stream) publish(t *rapid.T) {
	s.version += rapid.IntRange(1, 3).Draw(t, "versions")
	c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(s.version)}
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		if !rapid.Bool().Draw(t, name) {
			continue
		}
		c.Services = append(c.Services, hornbeamwell.Service{Name: name, Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: 10000}}})
		prefix := rapid.SampledFrom([]string{"/a", "/a/b", "/c", "/" + name}).Draw(t, "prefix")
		c.Routes = append(c.Routes, hornbeamwell.Route{Name: "r" + name, PathPrefix: prefix, Service: name, Timeout: time.Second})
	}
	for _, zone := range []string{"z1", "z2"} {
		if rapid.Bool().Draw(t, zone) {
			c.Evacuations = append(c.Evacuations, hornbeamwell.Evacuation{Zone: zone, StartedAt: time.Unix(int64(s.version), 0).UTC()})
		}
	}
	next, err := newConfigSnapshot(s.snapshot, c)
	if err != nil {
		t.Fatal(err)
	}
	if s.snapshot != nil {
		s.outline = s.snapshot.supersede()
	}
	s.published[c.Version] = c
	s.snapshot = next
	s.changeTargets(t)
}

func (s *stream) changeTargets(t *rapid.T) {
	id := rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "target")
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		delete(s.targets, id)
	} else {
		changed := sampleTarget(id, rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "service"), s.targets[id].Sequence+1)
		changed.State = rapid.SampledFrom([]hornbeamwell.TargetState{hornbeamwell.TargetReady, hornbeamwell.TargetGone}).Draw(t, "state")
		s.targets[id] = changed
	}
	snapshot, err := s.presence.build(uint64(len(s.inFlight)), s.targets, map[string]bool{id: true})
	if err != nil {
		t.Fatal(err)
	}
	s.desired = desiredState{configuration: s.snapshot, presence: snapshot}
	if s.session != nil {
		s.session.setDesired(s.desired)
	}
}

func (s *stream) send() {
	if update, _ := s.session.takePending(s.updates); update != nil {
		s.inFlight = append(s.inFlight, *update)
	}
}

func (s *stream) deliver(update wire.Update) {
	if resync := s.receiver.update(time.Now(), update); resync != nil {
		s.session.applyResync(*resync)
	}
}

// reopen starts a new session with a source that does not know the old one.
func (s *stream) reopen(configurations *history[*configOutline], presences *history[*presenceOutline]) {
	s.session = newSession(time.Now(), nil, s.receiver.request())
	s.session.resume(configurations, presences, s.desired)
	if s.session.needsGroups() {
		s.session.applyResync(s.receiver.resync())
	}
}

// settle delivers all updates in order until none is left to send.
func (s *stream) settle(t *rapid.T) {
	s.refuse = false
	s.session.applyResync(s.receiver.resync())
	s.publish(t)
	for range 10 {
		s.send()
		waiting := s.inFlight
		s.inFlight = nil
		for _, update := range waiting {
			s.deliver(update)
		}
	}
	closure := s.snapshot.closureOf(s.interests)
	state := s.receiver.replica.state
	if state.configuration.version != closure.view.version || state.configuration.digest != closure.view.digest {
		t.Fatalf("subscriber has version %d, want %d", state.configuration.version, closure.view.version)
	}
	if want := s.desired.presence.viewFor(closure.services); state.presence.digest != want.digest {
		t.Fatalf("subscriber has targets %v, not the desired ones", s.applied.Targets)
	}
}

// TestStreamOverAFaultyNetwork checks that late, duplicated, reordered and lost
// updates are never applied wrongly, partially or backwards, and that the
// subscriber finally has the newest state.
func TestStreamOverAFaultyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream(t)
		configurations, presences := newHistory[*configOutline](4, defaultHistoryBytes), newHistory[*presenceOutline](4, defaultHistoryBytes)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				s.publish(t)
				if s.outline != nil {
					configurations.add(s.outline.full.version, s.outline)
				}
				presences.add(s.desired.presence.full.version, s.desired.presence.outlined())
			},
			"targets": s.changeTargets,
			"send":    func(*rapid.T) { s.send() },
			"deliver": func(t *rapid.T) {
				if len(s.inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "which")
				s.deliver(s.inFlight[i])
				if rapid.Bool().Draw(t, "gone after") {
					s.inFlight = slices.Delete(s.inFlight, i, i+1)
				}
			},
			"refuse": func(t *rapid.T) { s.refuse = rapid.Bool().Draw(t, "refuse") },
			"reopen": func(*rapid.T) { s.reopen(configurations, presences) },
			"interest": func(*rapid.T) {
				if len(s.interests) == 0 {
					return
				}
				s.receiver.AddInterest("s2")
				s.interests = s.receiver.interests
				s.session.setInterests(s.interests)
			},
		})
		s.settle(t)
	})
}
