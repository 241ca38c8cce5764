package delivery

import (
	"sync"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// maxCachedParts is the number of packed changes that a source caches for
// sessions with the same base.
const maxCachedParts = 64

// defaultPartBytes bounds the memory of the cached changes where the options of a source do
// not.
const defaultPartBytes = 4 << 20

// updateBuilder builds the updates for the sessions of a source. It is safe for
// concurrent use.
type updateBuilder struct {
	limitBytes int

	mu sync.Mutex
	// parts holds the most recent packed changes, which have bytes in all. Both are guarded
	// by mu.
	parts map[partKey][]byte
	bytes int
	// order holds the keys of parts, oldest first. It is guarded by mu.
	order []partKey
}

// partKey identifies a change by the outlines of the views.
type partKey struct {
	base, desired *view
}

func newUpdateBuilder(limitBytes int) *updateBuilder {
	return &updateBuilder{limitBytes: limitBytes, parts: map[partKey][]byte{}}
}

// build returns the update that brings the subscriber to the desired state, nil
// if there is nothing to send, and the state of the subscriber after the update.
// A configuration version that the subscriber refused is not sent again. A
// subscriber with a newer configuration than this source keeps it; the source
// then does not know its closure and sends it targets only if it receives all
// of them. The caller holds the session's mutex.
func (b *updateBuilder) build(s *session, sent sentState, desired desiredState) (*wire.Update, sentState) {
	closure := desired.configuration.closureOf(s.interests)
	s.services = closure.services
	update := &wire.Update{Round: s.round}
	isSourceBehind := closure.view.version < sent.version
	if s.receivesConfiguration() && !isSourceBehind && closure.view.version > sent.refused {
		update.Configuration = b.part(sent.configuration, closure.view)
		sent.configuration = closure.view.outlined()
		sent.version = closure.view.version
	}
	if !isSourceBehind || s.receivesAllTargets() {
		presence := s.presenceOf(desired.presence, closure.services)
		if sent.presence == nil || sent.presence.digest != presence.digest {
			update.Presence = b.part(sent.presence, presence)
		}
		sent.presence = presence.outlined()
	}
	if desired.proxies != nil && s.request.Role == wire.RoleFollower {
		update.Proxies = b.part(sent.proxies, desired.proxies)
		sent.proxies = desired.proxies.outlined()
	}
	if update.Configuration == nil && update.Presence == nil && update.Proxies == nil {
		return nil, sent
	}
	return update, sent
}

// part returns the packed change from base, which is an outline, to desired, nil if there is
// none.
func (b *updateBuilder) part(base, desired *view) []byte {
	if base == desired.outlined() {
		return nil
	}
	if base != nil && base.digest == desired.digest && base.version == desired.version {
		return nil
	}
	key := partKey{base, desired.outlined()}
	b.mu.Lock()
	cached, found := b.parts[key]
	b.mu.Unlock()
	if found {
		return cached
	}
	part := diff(base, desired)
	if part.Full {
		fullPartsSent.Inc()
	}
	packed, err := wire.PackPart(part)
	if err != nil {
		hornbeamwell.ReportViolation("part_packs", "%v", err)
		return nil
	}
	b.cache(key, packed)
	return packed
}

func (b *updateBuilder) cache(key partKey, part []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, found := b.parts[key]; found {
		return
	}
	b.parts[key] = part
	b.bytes += len(part)
	b.order = append(b.order, key)
	for len(b.order) > 1 && (len(b.order) > maxCachedParts || b.bytes > b.limitBytes) {
		b.bytes -= len(b.parts[b.order[0]])
		delete(b.parts, b.order[0])
		b.order = b.order[1:]
	}
}
