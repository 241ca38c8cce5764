package catalog

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// maxOutcomes is the maximum number of stored outcomes. At 6,000 commands a
	// day it covers resends for more than three days.
	maxOutcomes = 20_000
	// maxOutcomeBytes is the maximum size of the stored outcomes and their request IDs. The
	// outcome of a refused request lists every fault. Like maxOutcomes it is the same on
	// all replicas, whatever their memory.
	maxOutcomeBytes = 8 << 20
	// maxEndedMoves is the maximum number of stored ended moves. Moves that end
	// because their service or a version is no longer configured are added without
	// this limit.
	maxEndedMoves = 2_000
)

// ControlFunc applies an operator's control to a move. It must be deterministic
// and must not have side effects.
type ControlFunc func(c Command, m hornbeamwell.Move) (hornbeamwell.Move, error)

// Catalog applies committed commands. Its read methods may be called from any
// goroutine.
type Catalog struct {
	control ControlFunc

	mutex sync.RWMutex
	// configuration is never modified in place.
	configuration *hornbeamwell.Configuration
	// endedMoves holds final moves, oldest first. None of them is also in
	// configuration.
	endedMoves []hornbeamwell.Move
	// outcomes holds the stored outcomes by request ID. They have outcomeBytes in all.
	outcomes     map[string]storedOutcome
	outcomeBytes int
	// outcomeOrder lists the keys of outcomes, oldest first.
	outcomeOrder []string
	// departures holds the targets that drain or are gone, by ID. It is never modified in
	// place.
	departures map[string]hornbeamwell.Departure
	// departuresVersion counts the changes of departures in this process.
	departuresVersion uint64
	// accepted holds the digests of accepted documents, oldest first.
	accepted documentSet
}

// storedOutcome is the outcome of a request that is returned when the request
// is resent.
type storedOutcome struct {
	// digest identifies the command. A request ID that is reused for another
	// command is refused.
	digest  uint64
	outcome []byte
}

// New returns an empty catalog.
func New(control ControlFunc) *Catalog {
	return &Catalog{
		control:       control,
		configuration: &hornbeamwell.Configuration{},
		outcomes:      map[string]storedOutcome{},
	}
}

// Configuration returns the current configuration. It must not be modified.
func (c *Catalog) Configuration() *hornbeamwell.Configuration {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.configuration
}

// Moves returns the ended moves followed by the open ones.
func (c *Catalog) Moves() []hornbeamwell.Move {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return slices.Concat(c.endedMoves, c.configuration.Moves)
}

// Move returns the open or ended move with the ID.
func (c *Catalog) Move(id string) (hornbeamwell.Move, bool) {
	for _, m := range c.Moves() {
		if m.ID == id {
			return m, true
		}
	}
	return hornbeamwell.Move{}, false
}

// Apply applies the command committed at a ledger index and returns the encoded
// outcome. It implements ledger.StateMachine.
func (c *Catalog) Apply(index uint64, data []byte) []byte {
	command, err := DecodeCommand(data)
	if err != nil {
		hornbeamwell.ReportViolation("ledger_command_readable", "index %d: %v", index, err)
		return encodeOutcome(Outcome{Err: invalid("command", err.Error())})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if command.RequestID == "" {
		return encodeOutcome(c.execute(hornbeamwell.ConfigVersion(index), command))
	}
	if first, found := c.outcomes[command.RequestID]; found {
		return first.forRequest(command.RequestDigest)
	}
	outcome := c.execute(hornbeamwell.ConfigVersion(index), command)
	encoded := encodeOutcome(outcome)
	if !errors.Is(outcome.Err, ErrStaleBase) {
		c.storeOutcome(command.RequestID, storedOutcome{digest: command.RequestDigest, outcome: encoded})
	}
	return encoded
}

// Outcome returns the stored outcome of a request, and false if there is none. If
// the ID was used with another digest, the outcome is a refusal.
func (c *Catalog) Outcome(requestID string, digest uint64) (Outcome, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	first, found := c.outcomes[requestID]
	if !found {
		return Outcome{}, false
	}
	outcome, err := DecodeOutcome(first.forRequest(digest))
	if err != nil {
		hornbeamwell.ReportViolation("remembered_outcome_readable", "request %s: %v", requestID, err)
		return Outcome{}, false
	}
	return outcome, true
}

// forRequest returns the encoded outcome for a request with the digest. A
// different digest means that the request ID was reused, which is an error.
func (o storedOutcome) forRequest(digest uint64) []byte {
	if o.digest != digest {
		return encodeOutcome(Outcome{Err: invalid("request_id", "was used for another command; choose a new one")})
	}
	return o.outcome
}

// storeOutcome stores the outcome of a request and removes the oldest ones above the limits, but
// not that one.
func (c *Catalog) storeOutcome(id string, o storedOutcome) {
	c.outcomes[id] = o
	c.outcomeOrder = append(c.outcomeOrder, id)
	c.outcomeBytes += o.bytes(id)
	for len(c.outcomeOrder) > maxOutcomes || c.outcomeBytes > maxOutcomeBytes && len(c.outcomeOrder) > 1 {
		oldest := c.outcomeOrder[0]
		c.outcomeBytes -= c.outcomes[oldest].bytes(oldest)
		delete(c.outcomes, oldest)
		c.outcomeOrder = c.outcomeOrder[1:]
	}
}

// bytes returns the size of the outcome of the request.
func (o storedOutcome) bytes(id string) int { return len(id) + len(o.outcome) }

// execute applies a command that has no stored outcome.
func (c *Catalog) execute(version hornbeamwell.ConfigVersion, command Command) Outcome {
	current := c.configuration.Version
	if command.ExpectedVersion != nil && *command.ExpectedVersion != current {
		return Outcome{Version: current, Err: &hornbeamwell.ConflictError{Expected: *command.ExpectedVersion, Current: current}}
	}
	switch command.Kind {
	case KindRefuse:
		return command.Refusal
	case KindDepart:
		c.recordDepartures(command)
		return Outcome{Version: current}
	default:
	}
	if command.Base != nil && *command.Base != current {
		return Outcome{Version: current, Err: ErrStaleBase}
	}
	next := *c.configuration
	next.Version = version
	var outcome Outcome
	switch command.Kind {
	case KindChange:
		outcome = c.applyChange(&next, command.Change)
	case KindReplace:
		if c.accepted.has(command.Replacement.Digest) {
			return Outcome{Version: current}
		}
		outcome = c.applyReplacement(&next, command.At, command.Replacement)
	case KindStartMove:
		outcome = c.startMove(&next, command)
	case KindControlMove:
		outcome = c.controlMove(&next, command)
	case KindStepMove:
		outcome = c.stepMove(&next, command)
	case KindStartEvacuation, KindEndEvacuation:
		if c.hasEvacuation(command.Zone) == (command.Kind == KindStartEvacuation) {
			return Outcome{Version: current}
		}
		outcome = applyEvacuation(&next, command)
	default:
		outcome = Outcome{Err: invalid("kind", "is not known to this version of the program")}
	}
	if outcome.Err != nil {
		outcome.Version = current
		return outcome
	}
	if version <= current {
		hornbeamwell.ReportViolation("config_version_grows", "version %d follows %d", version, current)
	}
	outcome.Version = version
	c.configuration = &next
	return outcome
}

func (c *Catalog) applyChange(next *hornbeamwell.Configuration, change Change) Outcome {
	if err := CheckChange(c.configuration, change); err != nil {
		return Outcome{Err: err}
	}
	result := change.Result(c.configuration)
	next.Services, next.Routes, next.Teams = result.Services, result.Routes, result.Teams
	return Outcome{}
}

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
