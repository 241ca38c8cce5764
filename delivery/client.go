package delivery

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// client is the part of a subscriber that decides. A link calls it from one
// goroutine, except for update and beat, which the connection's reader calls.
type client interface {
	// request returns the request for a new session.
	request() wire.OpenRequest
	// opened is called when a session is open, before any of its messages is
	// sent.
	opened(now time.Time)
	// closed is called when a session has ended.
	closed(now time.Time)
	// update applies an update. It returns a resync to ask for what it lacks.
	update(now time.Time, update wire.Update) *wire.Resync
	// resync returns what the client holds.
	resync() wire.Resync
	// beat takes the answer to the heartbeat of the time sent.
	beat(sent time.Time, beat wire.HeartbeatReply)
	// version is the configuration version to acknowledge.
	version() uint64
	// outgoing returns the notifications to send.
	outgoing(now time.Time) []notification
	// wantsSession reports whether a session should be open at all, and
	// dismisses whether the client wants another source than this.
	wantsSession() bool
	dismisses(now time.Time) bool
}

// notification is a message to the source.
type notification struct {
	method  string
	message any
}
