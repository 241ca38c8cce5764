package ledger

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

var (
	errBacklog       = fmt.Errorf("too many commands wait for a quorum: %w", hornbeamwell.ErrNotRun)
	errChangePending = fmt.Errorf("another change of the members is under way: %w", hornbeamwell.ErrNotRun)
	errNoQuorumAfter = fmt.Errorf("the remaining voters that answer are no quorum: %w", hornbeamwell.ErrNotRun)
	errTooLarge      = fmt.Errorf("the command is over the size limit: %w", hornbeamwell.ErrNotRun)
	errReplaced      = fmt.Errorf("another leader replaced the command: %w", hornbeamwell.ErrNotRun)
	errLinkClosed    = errors.New("the connection was closed")
	errStopped       = errors.New("the ledger has stopped")
)

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
