// Package catalog is the deterministic state behind the ledger: the
// configuration, the ended moves, and the answers to operator commands.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// Kind names what a command does.
type Kind string

// The kinds of commands.
const (
	KindApply       Kind = "apply"
	KindStartMove   Kind = "start_move"
	KindControlMove Kind = "control_move"
	// KindStepMove is a decision of the move controller.
	KindStepMove Kind = "step_move"
)

// Command changes the catalog once it is committed.
type Command struct {
	Kind Kind
	// RequestID is empty for commands of controllers. A second command with
	// the same id changes nothing and gets the first answer.
	RequestID string
	// ExpectedVersion is nil where the command applies to any version.
	ExpectedVersion *hornbeamwell.ConfigVersion
	// At is the leader's time when it proposed the command.
	At time.Time
	// Services and Routes replace the current ones for KindApply.
	Services []hornbeamwell.Service
	Routes   []hornbeamwell.Route
	// Move is the move to start, or the decided move for KindStepMove.
	Move hornbeamwell.Move
	// Control applies to the move with Move.ID for KindControlMove.
	Control hornbeamwell.MoveControl
}

// commandMessage is the ledger entry for a Command.
type commandMessage struct {
	Kind            string         `json:"kind"`
	RequestID       string         `json:"request_id,omitempty"`
	ExpectedVersion *uint64        `json:"expected_version,omitempty"`
	AtNs            int64          `json:"at_ns"`
	Services        []wire.Service `json:"services,omitempty"`
	Routes          []wire.Route   `json:"routes,omitempty"`
	Move            *wire.Move     `json:"move,omitempty"`
	Control         string         `json:"control,omitempty"`
}

// EncodeCommand returns the ledger entry for a command.
func EncodeCommand(c Command) ([]byte, error) {
	m := commandMessage{
		Kind:      string(c.Kind),
		RequestID: c.RequestID,
		AtNs:      wire.FromTime(c.At),
		Control:   string(c.Control),
	}
	if c.ExpectedVersion != nil {
		expected := uint64(*c.ExpectedVersion)
		m.ExpectedVersion = &expected
	}
	for _, s := range c.Services {
		m.Services = append(m.Services, wire.FromService(s))
	}
	for _, r := range c.Routes {
		m.Routes = append(m.Routes, wire.FromRoute(r))
	}
	if c.Kind != KindApply {
		move := wire.FromMove(c.Move)
		m.Move = &move
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s command: %w", c.Kind, err)
	}
	return data, nil
}

// DecodeCommand reads what EncodeCommand returned.
func DecodeCommand(data []byte) (Command, error) {
	var m commandMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	c := Command{
		Kind:      Kind(m.Kind),
		RequestID: m.RequestID,
		At:        wire.ToTime(m.AtNs),
		Control:   hornbeamwell.MoveControl(m.Control),
	}
	if m.ExpectedVersion != nil {
		expected := hornbeamwell.ConfigVersion(*m.ExpectedVersion)
		c.ExpectedVersion = &expected
	}
	for _, s := range m.Services {
		c.Services = append(c.Services, s.ToService())
	}
	for _, r := range m.Routes {
		c.Routes = append(c.Routes, r.ToRoute())
	}
	if m.Move != nil {
		c.Move = m.Move.ToMove()
	}
	return c, nil
}
