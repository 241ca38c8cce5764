package delivery

import (
	"encoding/json"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// diff returns the change from base to desired, or the full desired view where
// that takes fewer bytes. The base may be an outline. It is nil if the subscriber has no
// state or an unknown one.
func diff(base, desired *view) *wire.Part {
	part := &wire.Part{Epoch: desired.epoch, Version: desired.version, Digest: desired.digest}
	if base == nil {
		return fillFull(part, desired)
	}
	part.BaseDigest = base.digest
	cost := 0
	old, next := base.groups, desired.groups
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || len(old) > 0 && old[0].service < next[0].service:
			cost += removeGroup(part, old[0])
			old = old[1:]
		case len(old) == 0 || next[0].service < old[0].service:
			cost += replaceGroup(part, next[0])
			next = next[1:]
		default:
			cost += changeGroup(part, old[0], next[0])
			old, next = old[1:], next[1:]
		}
		if cost > desired.bytes {
			return fillFull(&wire.Part{Epoch: desired.epoch, Version: desired.version, Digest: desired.digest}, desired)
		}
	}
	return part
}

func fillFull(part *wire.Part, desired *view) *wire.Part {
	part.Full = true
	for _, g := range desired.groups {
		replaceGroup(part, g)
	}
	return part
}

// replaceGroup adds the full group to the part and returns its cost in bytes.
func replaceGroup(part *wire.Part, g *group) int {
	raws := make([]json.RawMessage, 0, len(g.items))
	for _, it := range g.items {
		raws = append(raws, it.raw)
	}
	part.Replaced = append(part.Replaced, wire.Group{Service: g.service, Items: raws})
	return g.bytes + len(g.service)
}

// removeGroup adds the removal of the group to the part and returns its cost in
// bytes.
func removeGroup(part *wire.Part, g *group) int {
	part.Replaced = append(part.Replaced, wire.Group{Service: g.service})
	return len(g.service)
}

// changeGroup adds either the changed items or the full group to the part,
// whichever takes fewer bytes, and returns the cost in bytes.
func changeGroup(part *wire.Part, old, next *group) int {
	if old == next || old.digest == next.digest {
		return 0
	}
	if old.digestOnly {
		return replaceGroup(part, next)
	}
	put, removed, cost := diffItems(old.outlined(), next.items)
	if cost >= next.bytes {
		return replaceGroup(part, next)
	}
	part.Put = append(part.Put, put...)
	part.Removed = append(part.Removed, removed...)
	return cost
}

// diffItems compares the items with those of an outline.
func diffItems(outline *group, next []*item) (put []json.RawMessage, removed []wire.ItemKey, cost int) {
	keys, hashes := outline.keys, outline.hashes
	for len(keys) > 0 || len(next) > 0 {
		var order int
		switch {
		case len(next) == 0:
			order = -1
		case len(keys) == 0:
			order = 1
		default:
			order = keys[0].compare(next[0].key)
		}
		switch {
		case order < 0:
			k := keys[0]
			removed = append(removed, wire.ItemKey{Service: k.service, Kind: k.kind, Name: k.name})
			cost += len(k.service) + len(k.kind) + len(k.name)
			keys, hashes = keys[1:], hashes[1:]
		case order > 0:
			put = append(put, next[0].raw)
			cost += len(next[0].raw)
			next = next[1:]
		default:
			if hashes[0] != next[0].hash {
				put = append(put, next[0].raw)
				cost += len(next[0].raw)
			}
			keys, hashes, next = keys[1:], hashes[1:], next[1:]
		}
	}
	return put, removed, cost
}
