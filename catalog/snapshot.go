package catalog

import (
	"encoding/json"
	"fmt"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// snapshotMessage is the encoding of a whole catalog.
type snapshotMessage struct {
	Configuration wire.Configuration `json:"configuration"`
	Ended         []wire.Move        `json:"ended,omitempty"`
	Answers       []answerMessage    `json:"answers,omitempty"`
	Accepted      []uint64           `json:"accepted,omitempty"`
}

type answerMessage struct {
	RequestID string          `json:"request_id"`
	Digest    uint64          `json:"digest"`
	Outcome   json.RawMessage `json:"outcome"`
}

// Snapshot returns the whole catalog. It implements ledger.Machine.
func (c *Catalog) Snapshot() ([]byte, error) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	m := snapshotMessage{Configuration: wire.FromConfiguration(c.configuration), Accepted: c.accepted.digests}
	for _, move := range c.ended {
		m.Ended = append(m.Ended, wire.FromMove(move))
	}
	for _, id := range c.answerOrder {
		a := c.answers[id]
		m.Answers = append(m.Answers, answerMessage{RequestID: id, Digest: a.digest, Outcome: a.outcome})
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode catalog: %w", err)
	}
	return data, nil
}

// Restore replaces the whole catalog by a snapshot taken at a ledger index. It
// implements ledger.Machine.
func (c *Catalog) Restore(index uint64, data []byte) error {
	var m snapshotMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode catalog at index %d: %w", index, err)
	}
	configuration := m.Configuration.ToConfiguration()
	if configuration.Version > hornbeamwell.ConfigVersion(index) {
		return fmt.Errorf("catalog at index %d holds the later version %d", index, configuration.Version)
	}
	ended := make([]hornbeamwell.Move, 0, len(m.Ended))
	for _, move := range m.Ended {
		ended = append(ended, move.ToMove())
	}
	answers := make(map[string]answer, len(m.Answers))
	order := make([]string, 0, len(m.Answers))
	for _, a := range m.Answers {
		answers[a.RequestID] = answer{digest: a.Digest, outcome: a.Outcome}
		order = append(order, a.RequestID)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.configuration = configuration
	c.ended = ended
	c.answers = answers
	c.answerOrder = order
	c.accepted = documentSet{digests: m.Accepted}
	return nil
}
