package delivery

import (
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// partsCached bounds the changes that a source keeps encoded for the next
// session with the same base.
const partsCached = 64

// updateMaker makes updates for the sessions of a source. It is safe for
// concurrent use.
type updateMaker struct {
	mu sync.Mutex
	// parts holds the last changes made, packed. It is guarded by mu.
	parts map[partKey][]byte
	order []partKey
}

type partKey struct {
	base, target *view
}

func newUpdateMaker() *updateMaker {
	return &updateMaker{parts: map[partKey][]byte{}}
}

// update returns the update that brings the subscriber to the wanted state, nil
// where it has that already, and what it has after it. A subscriber with a
// newer configuration than this source keeps its own; the source then does not
// know its closure.
func (u *updateMaker) update(s *session, sent sentState, wanted wantedState) (*wire.Update, sentState) {
	closed := wanted.edition.closureOf(s.interests)
	s.services = closed.services
	update := &wire.Update{Round: s.round}
	isBehind := closed.view.version < sent.version
	if s.takesConfiguration() && !isBehind && closed.view.version > sent.refused {
		update.Configuration = u.part(sent.configuration, closed.view)
		sent.configuration = closed.view
		sent.version = closed.view.version
	}
	if !isBehind || s.takesEveryTarget() {
		presence := s.presenceOf(wanted.roll, closed.services)
		if sent.presence == nil || sent.presence.digest != presence.digest {
			update.Presence = u.part(sent.presence, presence)
		}
		sent.presence = presence
	}
	if wanted.proxies != nil && s.request.Role == wire.RoleFollower {
		update.Proxies = u.part(sent.proxies, wanted.proxies)
		sent.proxies = wanted.proxies
	}
	if update.Configuration == nil && update.Presence == nil && update.Proxies == nil {
		return nil, sent
	}
	return update, sent
}

// part returns the change from base to target, nil where there is none.
func (u *updateMaker) part(base, target *view) []byte {
	if base == target {
		return nil
	}
	if base != nil && base.digest == target.digest && base.version == target.version {
		return nil
	}
	key := partKey{base, target}
	u.mu.Lock()
	known, found := u.parts[key]
	u.mu.Unlock()
	if found {
		return known
	}
	made := diff(base, target)
	if made.Full {
		wholePartsSent.Inc()
	}
	packed, err := wire.PackPart(made)
	if err != nil {
		hornbeamwell.ReportViolation("part_packs", "%v", err)
		return nil
	}
	u.keep(key, packed)
	return packed
}

func (u *updateMaker) keep(key partKey, part []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, found := u.parts[key]; found {
		return
	}
	u.parts[key] = part
	u.order = append(u.order, key)
	if len(u.order) > partsCached {
		delete(u.parts, u.order[0])
		u.order = u.order[1:]
	}
}
