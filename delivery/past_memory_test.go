package delivery

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// changingSource is a source of a configuration all of whose routes change with each version.
type changingSource struct {
	*Source
	version hornbeamwell.ConfigVersion
	// digests are those of the configurations by version.
	digests map[hornbeamwell.ConfigVersion]uint64
}

func newChangingSource(options SourceOptions) *changingSource {
	options.ID, options.Membership = "c1", target.NewMembership(target.MembershipOptions{})
	return &changingSource{Source: NewSource(options), digests: map[hornbeamwell.ConfigVersion]uint64{}}
}

const changingRoutes = 400

func (s *changingSource) publish(count int) {
	for range count {
		s.version++
		c := &hornbeamwell.Configuration{Version: s.version}
		for i := range changingRoutes {
			service := fmt.Sprintf("service-%02d", i%20)
			if i < 20 {
				c.Services = append(c.Services, hornbeamwell.Service{Name: service, Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: 10000}}})
			}
			c.Routes = append(c.Routes, hornbeamwell.Route{
				Name: fmt.Sprintf("route-%04d", i), PathPrefix: fmt.Sprintf("/service-%02d/route-%04d", i%20, i),
				Service: service, Timeout: time.Second + time.Duration(s.version)*time.Millisecond,
			})
		}
		s.publishConfiguration(&blackboard.Board{Configuration: c})
		s.digests[s.version] = s.desired.configuration.full.digest
	}
}

func liveHeap() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// TestPastConfigurationsTakeBoundedMemory guards against past configurations that are kept with
// all their items: control instances used more memory than they have after some hundred
// changes of all routes. Twice the changes may take no more.
func TestPastConfigurationsTakeBoundedMemory(t *testing.T) {
	const limit = 1 << 20
	s := newChangingSource(SourceOptions{HistoryBytes: limit})
	s.publish(1)
	atFirst := liveHeap()
	s.publish(300)
	after := liveHeap()
	s.publish(300)
	afterTwice := liveHeap()
	if grown := after - atFirst; grown > 2*limit {
		t.Errorf("300 changes take %d bytes, want at most %d", grown, 2*limit)
	}
	if grown := afterTwice - after; grown > limit/4 {
		t.Errorf("300 further changes take %d bytes", grown)
	}
	if s.configurations.bytes > limit {
		t.Errorf("the past configurations count %d bytes, the limit is %d", s.configurations.bytes, limit)
	}
	runtime.KeepAlive(s)
}

// TestSubscriberOfPastConfigurationGetsOnlyChanges guards against a history that is bounded by
// being short: a subscriber that was away for a while must get the changes alone.
func TestSubscriberOfPastConfigurationGetsOnlyChanges(t *testing.T) {
	t.Parallel()
	s := newChangingSource(SourceOptions{})
	s.publish(300)
	for _, behind := range []hornbeamwell.ConfigVersion{0, 1, 50, 200} {
		version := s.version - behind
		request := wire.OpenRequest{ID: "p1", Role: wire.RoleProxy, Configuration: wire.Base{Version: uint64(version), Digest: s.digests[version]}}
		sess := newSession(time.Unix(1_800_000_000, 0), nil, request)
		s.desired.presence = newPresenceBuilder(1).snapshot(1, nil)
		sess.resume(s.configurations, s.presences, s.desired)
		if sess.needsGroups() {
			t.Errorf("%d versions behind: the source does not know the configuration", behind)
		}
	}
}

// TestSlowSubscribersKeepNoPastItems guards against sessions whose subscribers read nothing and
// which keep the configuration that each of them was sent last.
func TestSlowSubscribersKeepNoPastItems(t *testing.T) {
	s := newChangingSource(SourceOptions{HistoryBytes: 64 << 10, PartBytes: 64 << 10})
	s.publish(1)
	atFirst := liveHeap()
	const slow = 100
	sessions := make([]*session, 0, slow)
	for i := range slow {
		s.publish(1)
		s.desired.presence = newPresenceBuilder(1).snapshot(1, nil)
		sess := newSession(time.Unix(1_800_000_000, 0), nil, wire.OpenRequest{ID: fmt.Sprint(i), Role: wire.RoleProxy})
		sess.resume(s.configurations, s.presences, s.desired)
		if update, _ := sess.takePending(s.updates); update == nil {
			t.Fatal("there is no update")
		}
		sessions = append(sessions, sess)
	}
	s.publish(1)
	for _, sess := range sessions {
		sess.setDesired(s.desired)
	}
	// An outline takes 8 bytes for each route.
	if grown, most := liveHeap()-atFirst, slow*(20*groupBytes+4*hashBytes*changingRoutes); grown > most {
		t.Errorf("%d sessions take %d bytes, want at most %d", slow, grown, most)
	}
	runtime.KeepAlive(sessions)
	runtime.KeepAlive(s)
}

// TestCachedChangesAreBoundedByBytes guards against changes for several subscribers that are
// bounded by their number alone.
func TestCachedChangesAreBoundedByBytes(t *testing.T) {
	t.Parallel()
	const limit = 32 << 10
	s := newChangingSource(SourceOptions{PartBytes: limit})
	base := (*view)(nil)
	for range 40 {
		s.publish(1)
		desired := s.desired.configuration.full
		if s.updates.part(base, desired) == nil {
			t.Fatal("there is no change")
		}
		base = desired.outlined()
	}
	if len(s.updates.parts) < 2 || s.updates.bytes > limit {
		t.Errorf("%d changes with %d bytes are cached, the limit is %d", len(s.updates.parts), s.updates.bytes, limit)
	}
}
