package catalog

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

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
		hornbeamwell.Violated("ledger_command_readable", "index %d: %v", index, err)
		return encodeOutcome(Outcome{Err: invalid("command", err.Error())})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if command.RequestID == "" {
		return encodeOutcome(c.run(hornbeamwell.ConfigVersion(index), command))
	}
	digest := digestCommand(command)
	if first, found := c.answers[command.RequestID]; found {
		if first.digest != digest {
			return encodeOutcome(Outcome{Err: invalid("request_id", "was used for another command; choose a new one")})
		}
		return first.outcome
	}
	outcome := encodeOutcome(c.run(hornbeamwell.ConfigVersion(index), command))
	c.remember(command.RequestID, answer{digest: digest, outcome: outcome})
	return outcome
}

// digestCommand identifies what an operator asked for. The leader's time is
// left out, since a resend is proposed at another time.
func digestCommand(c Command) uint64 {
	c.At = hornbeamwell.Move{}.AcceptedAt
	c.Move.AcceptedAt = c.At
	c.Move.StageAt = c.At
	data, err := EncodeCommand(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
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
	next := *c.configuration
	next.Version = version
	var outcome Outcome
	switch command.Kind {
	case KindApply:
		outcome = c.apply(&next, command)
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
		hornbeamwell.Violated("config_version_grows", "version %d follows %d", version, current)
	}
	outcome.Version = version
	c.configuration = &next
	return outcome
}

func (c *Catalog) apply(next *hornbeamwell.Configuration, command Command) Outcome {
	if err := CheckApply(c.configuration, command.Services, command.Routes); err != nil {
		return Outcome{Err: err}
	}
	next.Services = slices.Clone(command.Services)
	slices.SortFunc(next.Services, func(a, b hornbeamwell.Service) int { return strings.Compare(a.Name, b.Name) })
	next.Routes = slices.Clone(command.Routes)
	slices.SortFunc(next.Routes, func(a, b hornbeamwell.Route) int { return strings.Compare(a.Name, b.Name) })
	return Outcome{}
}

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
