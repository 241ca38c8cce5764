package catalog

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// maxAnswers bounds the remembered answers. At 6,000 commands a day it
	// covers resends for more than three days.
	maxAnswers = 20_000
	// maxEnded bounds the ended moves that are kept.
	maxEnded = 2_000
)

// Controls changes a move as an operator asks. It is pure.
type Controls func(c Command, m hornbeamwell.Move) (hornbeamwell.Move, error)

// Catalog applies committed commands. Its readers may run on any goroutine.
type Catalog struct {
	controls Controls

	mutex sync.RWMutex
	// configuration is never changed in place.
	configuration *hornbeamwell.Configuration
	// ended holds final moves, oldest first. None is also in configuration.
	ended []hornbeamwell.Move
	// answers holds the outcome of each remembered request id.
	answers map[string]answer
	// answerOrder lists the keys of answers, oldest first.
	answerOrder []string
	// accepted holds the digests of the accepted documents, oldest first.
	accepted documentSet
}

// answer is the remembered outcome of a request.
type answer struct {
	// digest identifies the command, so that a request id used for another
	// command is refused.
	digest  uint64
	outcome []byte
}

// New returns an empty catalog.
func New(controls Controls) *Catalog {
	return &Catalog{
		controls:      controls,
		configuration: &hornbeamwell.Configuration{},
		answers:       map[string]answer{},
	}
}

// Configuration returns the current configuration. It must not be changed.
func (c *Catalog) Configuration() *hornbeamwell.Configuration {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.configuration
}

// Moves returns the ended moves and then the open ones.
func (c *Catalog) Moves() []hornbeamwell.Move {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return slices.Concat(c.ended, c.configuration.Moves)
}

// Move returns the move with the id, open or ended.
func (c *Catalog) Move(id string) (hornbeamwell.Move, bool) {
	for _, m := range c.Moves() {
		if m.ID == id {
			return m, true
		}
	}
	return hornbeamwell.Move{}, false
}

// Apply applies the command at a ledger index and returns the encoded outcome.
// It implements ledger.Machine.
func (c *Catalog) Apply(index uint64, data []byte) []byte {
	command, err := DecodeCommand(data)
	if err != nil {
		hornbeamwell.ReportViolation("ledger_command_readable", "index %d: %v", index, err)
		return encodeOutcome(Outcome{Err: invalid("command", err.Error())})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if command.RequestID == "" {
		return encodeOutcome(c.run(hornbeamwell.ConfigVersion(index), command))
	}
	if first, found := c.answers[command.RequestID]; found {
		return first.to(command.RequestDigest)
	}
	outcome := c.run(hornbeamwell.ConfigVersion(index), command)
	encoded := encodeOutcome(outcome)
	if !errors.Is(outcome.Err, ErrStaleBase) {
		c.remember(command.RequestID, answer{digest: command.RequestDigest, outcome: encoded})
	}
	return encoded
}

// Outcome returns the remembered outcome of a request, and false where it has
// none.
func (c *Catalog) Outcome(requestID string, digest uint64) (Outcome, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	first, found := c.answers[requestID]
	if !found {
		return Outcome{}, false
	}
	outcome, err := DecodeOutcome(first.to(digest))
	if err != nil {
		hornbeamwell.ReportViolation("remembered_outcome_readable", "request %s: %v", requestID, err)
		return Outcome{}, false
	}
	return outcome, true
}

// to returns the encoded outcome for a request with the digest.
func (a answer) to(digest uint64) []byte {
	if a.digest != digest {
		return encodeOutcome(Outcome{Err: invalid("request_id", "was used for another command; choose a new one")})
	}
	return a.outcome
}

func (c *Catalog) remember(id string, a answer) {
	c.answers[id] = a
	c.answerOrder = append(c.answerOrder, id)
	if len(c.answerOrder) > maxAnswers {
		delete(c.answers, c.answerOrder[0])
		c.answerOrder = c.answerOrder[1:]
	}
}

// run applies a command that was not answered before.
func (c *Catalog) run(version hornbeamwell.ConfigVersion, command Command) Outcome {
	current := c.configuration.Version
	if command.ExpectedVersion != nil && *command.ExpectedVersion != current {
		return Outcome{Version: current, Err: &hornbeamwell.ConflictError{Expected: *command.ExpectedVersion, Current: current}}
	}
	if command.Kind == KindRefuse {
		return command.Refusal
	}
	if command.Base != nil && *command.Base != current {
		return Outcome{Version: current, Err: ErrStaleBase}
	}
	next := *c.configuration
	next.Version = version
	var outcome Outcome
	switch command.Kind {
	case KindChange:
		outcome = c.change(&next, command.Change)
	case KindReplace:
		if c.accepted.has(command.Replacement.Digest) {
			return Outcome{Version: current}
		}
		outcome = c.replace(&next, command.At, command.Replacement)
	case KindStartMove:
		outcome = c.startMove(&next, command)
	case KindControlMove:
		outcome = c.controlMove(&next, command)
	case KindStepMove:
		outcome = c.stepMove(&next, command)
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

func (c *Catalog) change(next *hornbeamwell.Configuration, change Change) Outcome {
	if err := CheckChange(c.configuration, change); err != nil {
		return Outcome{Err: err}
	}
	next.Services, next.Routes = change.Result(c.configuration)
	return Outcome{}
}

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
