package ledger

import (
	"github.com/hornbeamwell/hornbeamwell"
)

// event is an input of a core.
type event interface{ isEvent() }

// tickEvent triggers the time-dependent work of a core.
type tickEvent struct{}

// messageEvent carries a received message.
type messageEvent struct{ message Message }

// proposeEvent asks the leader to append commands.
type proposeEvent struct{ commands [][]byte }

// syncedEvent reports that every write up to a number is durable.
type syncedEvent struct{ write uint64 }

// compactEvent carries a snapshot of the state machine at the last delivered
// entry.
type compactEvent struct{ data []byte }

// changeEvent asks the leader to change the members.
type changeEvent struct{ change MemberChange }

// connectionLostEvent reports that messages to a member may have been lost.
type connectionLostEvent struct{ id string }

// stepDownEvent ends the leadership of an instance that is about to stop.
type stepDownEvent struct{}

// leaveEvent makes an instance that is about to stop pass its vote to a learner.
type leaveEvent struct{}

func (leaveEvent) isEvent()          {}
func (stepDownEvent) isEvent()       {}
func (tickEvent) isEvent()           {}
func (messageEvent) isEvent()        {}
func (proposeEvent) isEvent()        {}
func (syncedEvent) isEvent()         {}
func (compactEvent) isEvent()        {}
func (changeEvent) isEvent()         {}
func (connectionLostEvent) isEvent() {}

// effects are the actions that the driver must carry out after a step, in the
// order of the fields.
type effects struct {
	// writes go to the storage in order. lastWrite is the number of the last
	// write of the core so far. Once it is durable, the driver sends a
	// syncedEvent with this number or that of a later durable write.
	writes    []hornbeamwell.LedgerWrite
	lastWrite uint64
	// messages are sent at once.
	messages []Message
	// restore, if set, replaces the state of the state machine before committed
	// entries are applied.
	restore *hornbeamwell.LedgerSnapshot
	// committed are applied to the state machine in order.
	committed []hornbeamwell.LedgerEntry
	// proposed identifies the entry of the first proposed command.
	proposed entryID
	// rejected is the reason why a proposal or a member change was rejected.
	rejected error
}

// entryID identifies an entry. Two entries with the same index and term are the
// same.
type entryID struct{ index, term uint64 }
