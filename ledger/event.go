package ledger

import (
	"github.com/hornbeamwell/hornbeamwell"
)

// event is what happens to a core.
type event interface{ isEvent() }

// tickEvent says that time has passed.
type tickEvent struct{}

// messageEvent is a message that arrived.
type messageEvent struct{ message Message }

// proposeEvent asks the leader to append commands.
type proposeEvent struct{ commands [][]byte }

// syncedEvent says that every write up to a number is durable.
type syncedEvent struct{ write uint64 }

// compactEvent gives the machine's state at the last delivered entry.
type compactEvent struct{ data []byte }

// changeEvent asks the leader to change the members.
type changeEvent struct{ change MemberChange }

// connectionLostEvent says that messages to a member were lost.
type connectionLostEvent struct{ id string }

// stepDownEvent ends the leadership of an instance that is about to stop.
type stepDownEvent struct{}

func (stepDownEvent) isEvent() {}
func (tickEvent) isEvent()     {}
func (messageEvent) isEvent()  {}
func (proposeEvent) isEvent()  {}
func (syncedEvent) isEvent()   {}
func (compactEvent) isEvent()  {}
func (changeEvent) isEvent()   {}
func (connectionLostEvent) isEvent() {}

// effects are what a step of the core asks of its driver, in the order of the
// fields.
type effects struct {
	// writes go to the storage in order. The driver answers with a syncedEvent
	// of lastWrite once they are durable.
	writes    []hornbeamwell.LedgerWrite
	lastWrite uint64
	// messages are sent at once.
	messages []Message
	// restore, if set, replaces the machine's state before committed.
	restore *hornbeamwell.LedgerSnapshot
	// committed are applied to the machine in order.
	committed []hornbeamwell.LedgerEntry
	// proposed is the position of the first proposed command.
	proposed entryID
	// refused says why a proposal or a change did not run.
	refused error
}

// entryID names an entry for good: two entries with the same index and term
// are the same.
type entryID struct{ index, term uint64 }
