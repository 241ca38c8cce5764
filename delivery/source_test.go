package delivery

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// TestDelayedLeaderGrantsNoShareLease guards against a leader that was delayed for longer
// than its lease and grants a share lease before its board shows that another one leads.
func TestDelayedLeaderGrantsNoShareLease(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	leaseEnd := now.Add(time.Second)
	s := NewSource(SourceOptions{
		ID: "c1", Timing: SiteTiming(), Membership: target.NewMembership(target.MembershipOptions{}),
		Now: func() time.Time { return now }, HoldsLease: func() bool { return now.Before(leaseEnd) },
	})
	board := &blackboard.Board{Configuration: &hornbeamwell.Configuration{}, Leadership: blackboard.Leadership{HoldsLease: true}}
	s.Step(now, board)
	granted := s.lease.end()
	if !granted.Equal(now.Add(SiteTiming().ShareLease)) {
		t.Errorf("the leader's share lease ends at %v", granted)
	}
	now = now.Add(10 * time.Second)
	s.Step(now, board)
	if end := s.lease.end(); !end.Equal(granted) {
		t.Errorf("the share lease was extended by %v after the end of the leader's lease", end.Sub(granted))
	}
}

// polledConn is a connection that calls a function when its backlog is looked at, and has none.
type polledConn struct {
	net.Conn
	polled func()
}

// SyscallConn implements syscall.Conn.
func (c *polledConn) SyscallConn() (syscall.RawConn, error) { return polledSocket{polled: c}, nil }

type polledSocket struct {
	syscall.RawConn
	polled *polledConn
}

// Control implements syscall.RawConn.
func (s polledSocket) Control(func(uintptr)) error {
	s.polled.polled()
	return nil
}

// TestMessageHandledDuringCheckIsNoSilence guards against a session that is ended as silent
// although a message was handled after its last contact was looked up.
func TestMessageHandledDuringCheckIsNoSilence(t *testing.T) {
	t.Parallel()
	now, timing := time.Unix(1_800_000_000, 0), SiteTiming()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	conn := &polledConn{Conn: near}
	peer := wire.NewPeer(t.Context(), conn, wire.NewMux())
	clock := func() time.Time { return now }
	l := NewSubscriber(SubscriberOptions{ID: "p1", Timing: timing, Now: clock}).link
	s := NewSource(SourceOptions{ID: "c1", Timing: timing, Membership: target.NewMembership(target.MembershipOptions{}), Now: clock})
	sess := newSession(now, peer, wire.OpenRequest{ID: "p1", Role: wire.RoleProxy, Session: 1})
	s.addSession(now, sess)
	now = now.Add(2 * timing.SilenceTimeout)
	l.askedAt = now
	conn.polled = func() {
		l.markReceived()
		sess.touch(now)
	}
	if l.isSilent(now, peer) {
		t.Error("the subscriber takes the source for silent")
	}
	sess.touch(now.Add(-2 * timing.SilenceTimeout))
	if s.closeSilent(now); len(s.sessions) != 1 {
		t.Error("the source has closed the session")
	}
}

// TestDelayedSourceWaitsForHeartbeats guards against a source that was delayed with its
// subscribers, as on a suspended machine, and closes all their sessions as silent.
func TestDelayedSourceWaitsForHeartbeats(t *testing.T) {
	t.Parallel()
	now, timing := time.Unix(1_800_000_000, 0), SiteTiming()
	s := NewSource(SourceOptions{ID: "c1", Timing: timing, Membership: target.NewMembership(target.MembershipOptions{}), Now: func() time.Time { return now }})
	board := &blackboard.Board{Configuration: &hornbeamwell.Configuration{}}
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	stepFor := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			s.Step(now, board)
		}
	}
	stepFor(timing.SilenceTimeout)
	sess := newSession(now, wire.NewPeer(t.Context(), near, wire.NewMux()), wire.OpenRequest{ID: "p1", Role: wire.RoleProxy, Session: 1})
	s.addSession(now, sess)
	for range 3 {
		now = now.Add(5 * timing.SilenceTimeout)
		stepFor(timing.HeartbeatInterval * 3 / 2)
		if len(s.sessions) != 1 {
			t.Fatal("the session was closed before a heartbeat could arrive")
		}
		sess.touch(now)
	}
	stepFor(timing.SilenceTimeout + 3*timing.HeartbeatInterval)
	if len(s.sessions) != 0 {
		t.Error("a session without a heartbeat was kept")
	}
}

// TestSourceIsNeverLostToItself checks that a source does not count itself as
// lost. A control instance that briefly does not lead opens a session to
// itself, which ends when it leads again.
func TestSourceIsNeverLostToItself(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	s := NewSource(SourceOptions{
		ID: "control-0", Zone: "a", Membership: target.NewMembership(target.MembershipOptions{}),
		Post: func(_ context.Context, event blackboard.Event) error {
			event(now, &blackboard.Board{})
			return nil
		},
		Now: func() time.Time { return now },
	})
	for _, id := range []string{"control-0", "control-1"} {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		peer := wire.NewPeer(t.Context(), near, wire.NewMux())
		sess := newSession(now, peer, wire.OpenRequest{ID: id, Role: wire.RoleFollower, Session: 1})
		s.addSession(now, sess)
		s.removeSession(now, sess)
	}
	c := s.registry.convergence(0, s.sessions)
	if c.SilentCount != 1 || len(c.Silent) != 1 || c.Silent[0].ID != "control-1" {
		t.Errorf("the sources reported silent are %v, want only control-1", c.Silent)
	}
}
