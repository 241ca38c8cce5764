package delivery

import (
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// errPassedOver means that an update was sent before the source knew what the
// subscriber holds.
var errPassedOver = errors.New("the update is of an earlier round")

// replica is the state of a subscriber and the round in which it was last told
// to the source.
type replica struct {
	held *heldState
	// round never decreases.
	round uint64
}

func newReplica() replica { return replica{held: newHeldState()} }

// open starts a round with what a new session is told.
func (r *replica) open(request wire.OpenRequest) wire.OpenRequest {
	r.round++
	request.Round = r.round
	request.Configuration = r.held.configuration.base()
	request.Presence = r.held.presence.base()
	return request
}

// resync starts a round with the digests of everything held.
func (r *replica) resync(refused uint64) *wire.Resync {
	r.round++
	return &wire.Resync{
		Round:         r.round,
		Configuration: r.held.configuration.groupDigests(),
		Presence:      r.held.presence.groupDigests(),
		Refused:       refused,
	}
}

// receive returns the state after the update. On an error nothing has changed.
func (r *replica) receive(update wire.Update) (*heldState, error) {
	if update.Round != r.round {
		return nil, errPassedOver
	}
	unpacked, err := unpack(update)
	if err != nil {
		return nil, err
	}
	return r.held.apply(unpacked)
}
