package delivery

import (
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// errStaleRound is returned for an update that was sent before the source knew
// the subscriber's state.
var errStaleRound = errors.New("update belongs to an earlier round")

// replica is the state of a subscriber and the round in which the source was
// last informed of it.
type replica struct {
	state *subscriberState
	// round increases with every request and resync.
	round uint64
}

func newReplica() replica { return replica{state: newSubscriberState()} }

// openRequest starts a round and completes the request for a new session.
func (r *replica) openRequest(request wire.OpenRequest) wire.OpenRequest {
	r.round++
	request.Round = r.round
	request.Configuration = r.state.configuration.base()
	request.Presence = r.state.presence.base()
	return request
}

// resync starts a round and returns the digests of all groups.
func (r *replica) resync(refused uint64) *wire.Resync {
	r.round++
	return &wire.Resync{
		Round:         r.round,
		Configuration: r.state.configuration.groupDigests(),
		Presence:      r.state.presence.groupDigests(),
		Refused:       refused,
	}
}

// receive returns the state after the update. The replica is not modified.
func (r *replica) receive(update wire.Update) (*subscriberState, error) {
	if update.Round != r.round {
		return nil, errStaleRound
	}
	unpacked, err := unpack(update)
	if err != nil {
		return nil, err
	}
	return r.state.apply(unpacked)
}
