package delivery

import (
	"encoding/json"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// diff returns the change from base to target, or the full target where that
// takes fewer bytes. The base is nil if the subscriber has no state.
func diff(base, target *view) *wire.Part {
	part := &wire.Part{Epoch: target.epoch, Version: target.version, Digest: target.digest}
	if base == nil {
		return fillFull(part, target)
	}
	part.BaseDigest = base.digest
	cost := 0
	old, now := base.groups, target.groups
	for len(old) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(old) > 0 && old[0].service < now[0].service:
			cost += removeGroup(part, old[0])
			old = old[1:]
		case len(old) == 0 || now[0].service < old[0].service:
			cost += replaceGroup(part, now[0])
			now = now[1:]
		default:
			cost += changeGroup(part, old[0], now[0])
			old, now = old[1:], now[1:]
		}
		if cost > target.bytes {
			return fillFull(&wire.Part{Epoch: target.epoch, Version: target.version, Digest: target.digest}, target)
		}
	}
	return part
}

func fillFull(part *wire.Part, target *view) *wire.Part {
	part.Full = true
	for _, g := range target.groups {
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
func changeGroup(part *wire.Part, old, now *group) int {
	if old == now || old.digest == now.digest {
		return 0
	}
	if old.digestOnly {
		return replaceGroup(part, now)
	}
	put, removed, cost := diffItems(old.items, now.items)
	if cost >= now.bytes {
		return replaceGroup(part, now)
	}
	part.Put = append(part.Put, put...)
	part.Removed = append(part.Removed, removed...)
	return cost
}

func diffItems(old, now []*item) (put []json.RawMessage, removed []wire.ItemKey, cost int) {
	for len(old) > 0 || len(now) > 0 {
		var order int
		switch {
		case len(now) == 0:
			order = -1
		case len(old) == 0:
			order = 1
		default:
			order = old[0].key.compare(now[0].key)
		}
		switch {
		case order < 0:
			k := old[0].key
			removed = append(removed, wire.ItemKey{Service: k.service, Kind: k.kind, Name: k.name})
			cost += len(k.service) + len(k.kind) + len(k.name)
			old = old[1:]
		case order > 0:
			put = append(put, now[0].raw)
			cost += len(now[0].raw)
			now = now[1:]
		default:
			if old[0].hash != now[0].hash {
				put = append(put, now[0].raw)
				cost += len(now[0].raw)
			}
			old, now = old[1:], now[1:]
		}
	}
	return put, removed, cost
}
