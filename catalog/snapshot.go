package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// snapshotMessage is the JSON encoding of a whole catalog.
type snapshotMessage struct {
	Configuration wire.Configuration `json:"configuration"`
	Ended         []wire.Move        `json:"ended,omitempty"`
	Outcomes      []outcomeEntry     `json:"answers,omitempty"`
	Accepted      []uint64           `json:"accepted,omitempty"`
	Departures    []wire.Departure   `json:"departures,omitempty"`
}

type outcomeEntry struct {
	RequestID string          `json:"request_id"`
	Digest    uint64          `json:"digest"`
	Outcome   json.RawMessage `json:"outcome"`
}

// Snapshot returns the encoded catalog. It implements ledger.StateMachine.
func (c *Catalog) Snapshot() ([]byte, error) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	m := snapshotMessage{Configuration: wire.FromConfiguration(c.configuration), Accepted: c.accepted.digests}
	for _, move := range c.endedMoves {
		m.Ended = append(m.Ended, wire.FromMove(move))
	}
	for _, id := range c.outcomeOrder {
		o := c.outcomes[id]
		m.Outcomes = append(m.Outcomes, outcomeEntry{RequestID: id, Digest: o.digest, Outcome: o.outcome})
	}
	for _, id := range slices.Sorted(maps.Keys(c.departures)) {
		m.Departures = append(m.Departures, wire.FromDeparture(c.departures[id]))
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode catalog snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the catalog with a snapshot taken at a ledger index. It
// implements ledger.StateMachine.
func (c *Catalog) Restore(index uint64, data []byte) error {
	var m snapshotMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode catalog snapshot at index %d: %w", index, err)
	}
	configuration := m.Configuration.ToConfiguration()
	if configuration.Version > hornbeamwell.ConfigVersion(index) {
		return fmt.Errorf("catalog snapshot at index %d contains the later version %d", index, configuration.Version)
	}
	ended := make([]hornbeamwell.Move, 0, len(m.Ended))
	for _, move := range m.Ended {
		ended = append(ended, move.ToMove())
	}
	outcomes := make(map[string]storedOutcome, len(m.Outcomes))
	order := make([]string, 0, len(m.Outcomes))
	outcomeBytes := 0
	for _, entry := range m.Outcomes {
		stored := storedOutcome{digest: entry.Digest, outcome: entry.Outcome}
		outcomes[entry.RequestID] = stored
		order = append(order, entry.RequestID)
		outcomeBytes += stored.bytes(entry.RequestID)
	}
	departures := make(map[string]hornbeamwell.Departure, len(m.Departures))
	for _, entry := range m.Departures {
		d := entry.ToDeparture()
		departures[d.Target.ID] = d
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.departures = departures
	c.departuresVersion++
	c.configuration = configuration
	c.endedMoves = ended
	c.outcomes, c.outcomeBytes = outcomes, outcomeBytes
	c.outcomeOrder = order
	c.accepted = documentSet{digests: m.Accepted}
	return nil
}
