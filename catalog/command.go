package catalog

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// Kind is the type of a command.
type Kind string

// Kinds of commands.
const (
	// KindChange sets and removes resources.
	KindChange      Kind = "change"
	KindStartMove   Kind = "start_move"
	KindControlMove Kind = "control_move"
	// KindStepMove applies a decision of the move controller.
	KindStepMove Kind = "step_move"
	// KindReplace replaces all resources with those of an operators' document.
	KindReplace Kind = "replace"
	// KindStartEvacuation and KindEndEvacuation start and end the evacuation of a zone.
	KindStartEvacuation Kind = "start_evacuation"
	KindEndEvacuation   Kind = "end_evacuation"
	// KindRefuse stores the refusal of a request as its outcome.
	KindRefuse Kind = "refuse"
	// KindDepart records targets that drain or are gone.
	KindDepart Kind = "depart"
)

// Command is a ledger command that changes the catalog once it is committed.
type Command struct {
	Kind Kind
	// RequestID is empty for commands of controllers and for KindReplace. A second
	// command with the same ID and RequestDigest changes nothing and returns the
	// first outcome, unless that was ErrStaleBase.
	RequestID string
	// RequestDigest identifies the content of an operator's request. A request
	// ID that is reused with different content is refused.
	RequestDigest uint64
	// Base is the version from which Change was computed. If it is nil, the
	// command applies to any version.
	Base *hornbeamwell.ConfigVersion
	// ExpectedVersion is the version that the operator expects to be current.
	// If it is nil, the command applies to any version.
	ExpectedVersion *hornbeamwell.ConfigVersion
	// At is the leader's time when it proposed the command.
	At time.Time
	// Change is used by KindChange.
	Change Change
	// Replacement is used by KindReplace.
	Replacement Replacement
	// Refusal is the outcome that KindRefuse stores.
	Refusal Outcome
	// Move is the move to start for KindStartMove and the decided move for
	// KindStepMove. For KindControlMove, its ID identifies the move to control.
	Move hornbeamwell.Move
	// Control is the operator's control for KindControlMove.
	Control hornbeamwell.MoveControl
	// Zone is used by KindStartEvacuation and KindEndEvacuation.
	Zone string
	// Departed is used by KindDepart.
	Departed []hornbeamwell.Target
}

// commandMessage is the JSON encoding of a Command in the ledger.
type commandMessage struct {
	Kind            string          `json:"kind"`
	RequestID       string          `json:"request_id,omitempty"`
	RequestDigest   uint64          `json:"request_digest,omitempty"`
	Base            *uint64         `json:"base,omitempty"`
	ExpectedVersion *uint64         `json:"expected_version,omitempty"`
	AtNs            int64           `json:"at_ns"`
	Services        []wire.Service  `json:"services,omitempty"`
	Routes          []wire.Route    `json:"routes,omitempty"`
	RemovedServices []string        `json:"removed_services,omitempty"`
	RemovedRoutes   []string        `json:"removed_routes,omitempty"`
	Teams           []wire.Team     `json:"teams,omitempty"`
	RemovedTeams    []string        `json:"removed_teams,omitempty"`
	Move            *wire.Move      `json:"move,omitempty"`
	Control         string          `json:"control,omitempty"`
	Refusal         json.RawMessage `json:"refusal,omitempty"`
	Revision        uint64          `json:"revision,omitempty"`
	BaseRevision    uint64          `json:"base_revision,omitempty"`
	DocumentDigest  uint64          `json:"document_digest,omitempty"`
	DocumentDelta   []byte          `json:"document_delta,omitempty"`
	Zone            string          `json:"zone,omitempty"`
	Departed        []wire.Target   `json:"departed,omitempty"`
}

// EncodeCommand returns the ledger entry for the command.
func EncodeCommand(c Command) ([]byte, error) {
	if c.Kind == KindReplace {
		c.Change = c.Replacement.Change
	}
	m := commandMessage{
		Kind:      string(c.Kind),
		RequestID: c.RequestID,
		AtNs:      wire.FromTime(c.At),
		Control:   string(c.Control),

		RequestDigest:   c.RequestDigest,
		Base:            fromVersion(c.Base),
		ExpectedVersion: fromVersion(c.ExpectedVersion),
		RemovedServices: c.Change.RemovedServices,
		RemovedRoutes:   c.Change.RemovedRoutes,
		RemovedTeams:    c.Change.RemovedTeams,
		Revision:        c.Replacement.Revision,
		BaseRevision:    c.Replacement.BaseRevision,
		DocumentDigest:  c.Replacement.Digest,
		DocumentDelta:   c.Replacement.Delta,
		Zone:            c.Zone,
	}
	for _, s := range c.Change.Services {
		m.Services = append(m.Services, wire.FromService(s))
	}
	for _, r := range c.Change.Routes {
		m.Routes = append(m.Routes, wire.FromRoute(r))
	}
	for _, t := range c.Change.Teams {
		m.Teams = append(m.Teams, wire.FromTeam(t))
	}
	switch c.Kind {
	case KindRefuse:
		m.Refusal = encodeOutcome(c.Refusal)
	case KindDepart:
		m.Departed = wire.FromTargets(c.Departed)
	case KindChange, KindReplace, KindStartEvacuation, KindEndEvacuation:
	default:
		move := wire.FromMove(c.Move)
		m.Move = &move
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s command: %w", c.Kind, err)
	}
	return data, nil
}

// DecodeCommand decodes a ledger entry encoded by EncodeCommand.
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
		Zone:      m.Zone,

		RequestDigest:   m.RequestDigest,
		Base:            toVersion(m.Base),
		ExpectedVersion: toVersion(m.ExpectedVersion),
		Change:          Change{RemovedServices: m.RemovedServices, RemovedRoutes: m.RemovedRoutes, RemovedTeams: m.RemovedTeams},
	}
	for _, s := range m.Services {
		c.Change.Services = append(c.Change.Services, s.ToService())
	}
	for _, r := range m.Routes {
		c.Change.Routes = append(c.Change.Routes, r.ToRoute())
	}
	for _, t := range m.Teams {
		c.Change.Teams = append(c.Change.Teams, t.ToTeam())
	}
	if len(m.Departed) > 0 {
		c.Departed = wire.ToTargets(m.Departed)
	}
	if c.Kind == KindReplace {
		c.Replacement = Replacement{
			Revision: m.Revision, BaseRevision: m.BaseRevision,
			Digest: m.DocumentDigest, Delta: m.DocumentDelta, Change: c.Change,
		}
		c.Change = Change{}
	}
	if m.Move != nil {
		c.Move = m.Move.ToMove()
	}
	if m.Refusal == nil {
		return c, nil
	}
	var err error
	if c.Refusal, err = DecodeOutcome(m.Refusal); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}

func fromVersion(v *hornbeamwell.ConfigVersion) *uint64 {
	if v == nil {
		return nil
	}
	n := uint64(*v)
	return &n
}

func toVersion(n *uint64) *hornbeamwell.ConfigVersion {
	if n == nil {
		return nil
	}
	v := hornbeamwell.ConfigVersion(*n)
	return &v
}
