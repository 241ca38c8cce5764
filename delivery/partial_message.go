package delivery

import "github.com/hornbeamwell/hornbeamwell/wire"

// partialMessage follows the arrival of a message that is too large for the link to deliver
// between two checks of a session.
type partialMessage struct {
	// received is the number of bytes of the connection at the last check.
	received uint64
}

// hasGrown reports whether a message has arrived in part and more of it since the last call.
func (m *partialMessage) hasGrown(peer *wire.Peer) bool {
	received := peer.Received()
	hasGrown := received != m.received && peer.Unhandled() > 0
	m.received = received
	return hasGrown
}
