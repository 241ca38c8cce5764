package delivery

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/target"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// The kinds of items.
const (
	kindService = "service"
	kindRoute   = "route"
	kindMove    = "move"
	kindTarget  = "target"
	kindProxy   = "proxy"
	kindSource  = "source"
	kindTeam    = "team"

	kindEvacuation = "evacuation"
	// kindUnreadable is the kind of items that can't be decoded.
	kindUnreadable = "unreadable"
)

// itemKey identifies an item within a view. For a proxy or a source, service is
// its zone. For a team or an evacuation it is globalGroup.
type itemKey struct {
	service, kind, name string
}

// globalGroup is the group of the items that belong to no service. Every proxy
// receives them, whatever its interests. No service has an empty name.
const globalGroup = ""

func (k itemKey) compare(other itemKey) int {
	if c := strings.Compare(k.service, other.service); c != 0 {
		return c
	}
	if c := strings.Compare(k.kind, other.kind); c != 0 {
		return c
	}
	return strings.Compare(k.name, other.name)
}

// item is one resource of a view. It is immutable.
type item struct {
	key itemKey
	// raw is the encoded resource, nil in a received item. hash is the hash of
	// the encoded resource and part of the digest.
	raw  json.RawMessage
	hash uint64
	// Exactly one of the following fields is set, none in an unreadable item.
	service *hornbeamwell.Service
	route   *hornbeamwell.Route
	move    *hornbeamwell.Move
	target  *hornbeamwell.Target
	proxy   *wire.ReportedProxy
	team    *hornbeamwell.Team

	evacuation *hornbeamwell.Evacuation
}

func proxyKey(p wire.ReportedProxy) itemKey {
	if p.IsSource {
		return itemKey{p.Zone, kindSource, p.ID}
	}
	return itemKey{p.Zone, kindProxy, p.ID}
}

// encodeItem sets the encoding and the hash of the item.
func encodeItem(it *item) (*item, error) {
	raw, err := json.Marshal(it.message())
	if err != nil {
		return nil, fmt.Errorf("encode %s %s: %w", it.key.kind, it.key.name, err)
	}
	it.raw = raw
	it.hash = xxhash.Sum64(raw)
	return it, nil
}

func (it *item) message() wire.Item {
	var m wire.Item
	switch {
	case it.service != nil:
		service := wire.FromService(*it.service)
		m.Service = &service
	case it.route != nil:
		route := wire.FromRoute(*it.route)
		m.Route = &route
	case it.move != nil:
		move := wire.FromMove(*it.move)
		m.Move = &move
	case it.team != nil:
		team := wire.FromTeam(*it.team)
		m.Team = &team
	case it.evacuation != nil:
		evacuation := wire.FromEvacuation(*it.evacuation)
		m.Evacuation = &evacuation
	case it.target != nil:
		target := wire.FromTarget(*it.target)
		m.Target = &target
	default:
		m.Proxy = it.proxy
	}
	return m
}

// unreadableItem returns the item for an encoded one that can't be decoded.
func unreadableItem(service string, raw json.RawMessage) *item {
	hash := xxhash.Sum64(raw)
	return &item{key: itemKey{service, kindUnreadable, strconv.FormatUint(hash, 16)}, hash: hash}
}

// usableTarget returns the target of the item, nil if no proxy can use it.
func (it *item) usableTarget() *hornbeamwell.Target {
	if it.target == nil || target.CheckTarget(*it.target) != nil {
		return nil
	}
	return it.target
}

// decodeItem decodes the output of encodeItem. The hash is computed from the
// received bytes, so that it includes fields that this program does not know.
func decodeItem(raw json.RawMessage) (*item, error) {
	var m wire.Item
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("decode item: %w", err)
	}
	it := &item{hash: xxhash.Sum64(raw)}
	switch {
	case m.Service != nil:
		service := m.Service.ToService()
		it.key, it.service = itemKey{service.Name, kindService, service.Name}, &service
	case m.Route != nil:
		route := m.Route.ToRoute()
		it.key, it.route = itemKey{route.Service, kindRoute, route.Name}, &route
	case m.Move != nil:
		move := m.Move.ToMove()
		it.key, it.move = itemKey{move.Service, kindMove, move.ID}, &move
	case m.Target != nil:
		target := m.Target.ToTarget()
		it.key, it.target = itemKey{target.Service, kindTarget, target.ID}, &target
	case m.Team != nil:
		team := m.Team.ToTeam()
		it.key, it.team = itemKey{globalGroup, kindTeam, team.Name}, &team
	case m.Evacuation != nil:
		evacuation := m.Evacuation.ToEvacuation()
		it.key, it.evacuation = itemKey{globalGroup, kindEvacuation, evacuation.Zone}, &evacuation
	case m.Proxy != nil:
		it.key, it.proxy = proxyKey(*m.Proxy), m.Proxy
	default:
		return nil, fmt.Errorf("unknown item kind: %.80s", raw)
	}
	return it, nil
}
