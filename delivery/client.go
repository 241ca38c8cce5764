package delivery

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// client is the Subscriber or Upstream that uses a link. It holds the received
// state and decides what the link sends. The link calls update and
// heartbeatReply on the goroutine that reads the connection, version on that
// one and on the one that calls run, and the other methods on the one that
// calls run.
type client interface {
	// request returns the request for a new session.
	request() wire.OpenRequest
	// opened is called when a session is open, before any message is sent on
	// it.
	opened(now time.Time)
	// closed is called when a session has ended.
	closed(now time.Time)
	// update applies an update. If it refuses the update, it returns the resync
	// to send, otherwise nil. It ignores an update of an earlier round.
	update(now time.Time, update wire.Update) *wire.Resync
	// resync returns the digests of the client's state.
	resync() wire.Resync
	// heartbeatReply processes the reply to the heartbeat that was sent at the
	// given time.
	heartbeatReply(sent time.Time, reply wire.HeartbeatReply)
	// recorded processes what the source has of targets that the client announced.
	recorded(targets []hornbeamwell.Target)
	// departed processes departures that the ledger has.
	departed(departures []hornbeamwell.Departure)
	// version returns the configuration version to acknowledge.
	version() uint64
	// outgoing returns the notifications to send.
	outgoing(now time.Time) []notification
	// needsSession reports whether a session should be open at all, and
	// shouldSwitch whether the client requires another source.
	needsSession() bool
	shouldSwitch(now time.Time) bool
}

// notification is a message to the source that has no reply.
type notification struct {
	method  string
	message any
}
