package catalog

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// ErrStaleStep means that a decision about a move was based on older state, or that
// the move is not open.
var ErrStaleStep = errors.New("the move has changed since this decision was made")

// Outcome is the result of a committed command.
type Outcome struct {
	// Version is the configuration version after the command. It is zero for a
	// command that cannot be decoded or reuses a request ID with another digest.
	// For KindRefuse, it is the version that the refusal was based on.
	Version hornbeamwell.ConfigVersion
	// Move is the move that the command started or changed. It is nil for all
	// other commands.
	Move *hornbeamwell.Move
	// Err is nil if the command was applied, or if its document had been
	// accepted before. Otherwise it is a *hornbeamwell.ConflictError, a
	// *hornbeamwell.InvalidError, an error that wraps hornbeamwell.ErrNotFound,
	// ErrStaleBase or ErrStaleStep.
	Err error
}

// outcomeMessage is the JSON encoding of an Outcome. Problem texts are part of
// the replicated state, so every version of the program must produce the same
// ones. The errors of encoding/json contain the names of Go types and become
// problem texts of commands that cannot be decoded, so the types of this file
// and of commandMessage keep their names.
type outcomeMessage struct {
	Version   uint64         `json:"version"`
	Move      *wire.Move     `json:"move,omitempty"`
	Conflict  *conflict      `json:"conflict,omitempty"`
	Faults    []faultMessage `json:"faults,omitempty"`
	NotFound  bool           `json:"not_found,omitempty"`
	StaleStep bool           `json:"stale,omitempty"`
	StaleBase bool           `json:"old_base,omitempty"`
}

type conflict struct {
	Expected uint64 `json:"expected"`
	Current  uint64 `json:"current"`
}

type faultMessage struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

func encodeOutcome(o Outcome) []byte {
	m := outcomeMessage{Version: uint64(o.Version)}
	if o.Move != nil {
		move := wire.FromMove(*o.Move)
		m.Move = &move
	}
	var conflictErr *hornbeamwell.ConflictError
	if errors.As(o.Err, &conflictErr) {
		m.Conflict = &conflict{Expected: uint64(conflictErr.Expected), Current: uint64(conflictErr.Current)}
	}
	var invalid *hornbeamwell.InvalidError
	if errors.As(o.Err, &invalid) {
		for _, f := range invalid.Faults {
			m.Faults = append(m.Faults, faultMessage{Field: f.Field, Problem: f.Problem})
		}
	}
	m.NotFound = errors.Is(o.Err, hornbeamwell.ErrNotFound)
	m.StaleStep = errors.Is(o.Err, ErrStaleStep)
	m.StaleBase = errors.Is(o.Err, ErrStaleBase)
	data, err := json.Marshal(m)
	if err != nil {
		hornbeamwell.ReportViolation("outcome_encoding", "%v", err)
	}
	return data
}

// DecodeOutcome decodes an outcome returned by Catalog.Apply.
func DecodeOutcome(data []byte) (Outcome, error) {
	var m outcomeMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	o := Outcome{Version: hornbeamwell.ConfigVersion(m.Version)}
	if m.Move != nil {
		move := m.Move.ToMove()
		o.Move = &move
	}
	switch {
	case m.Conflict != nil:
		o.Err = &hornbeamwell.ConflictError{
			Expected: hornbeamwell.ConfigVersion(m.Conflict.Expected),
			Current:  hornbeamwell.ConfigVersion(m.Conflict.Current),
		}
	case len(m.Faults) > 0:
		invalid := &hornbeamwell.InvalidError{}
		for _, f := range m.Faults {
			invalid.Faults = append(invalid.Faults, hornbeamwell.Fault{Field: f.Field, Problem: f.Problem})
		}
		o.Err = invalid
	case m.NotFound:
		o.Err = fmt.Errorf("move: %w", hornbeamwell.ErrNotFound)
	case m.StaleStep:
		o.Err = ErrStaleStep
	case m.StaleBase:
		o.Err = ErrStaleBase
	}
	return o, nil
}
