package ledger

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

var (
	errBacklog              = fmt.Errorf("too many uncommitted commands: %w", hornbeamwell.ErrNotRun)
	errChangePending        = fmt.Errorf("another member change is in progress: %w", hornbeamwell.ErrNotRun)
	errNoQuorumAfterRemoval = fmt.Errorf("the responsive remaining voters form no quorum: %w", hornbeamwell.ErrNotRun)
	errTooLarge             = fmt.Errorf("the command exceeds the size limit: %w", hornbeamwell.ErrNotRun)
	errReplaced             = fmt.Errorf("the command was replaced by an entry of another leader: %w", hornbeamwell.ErrNotRun)
	errForming              = fmt.Errorf("not all initial instances have joined: %w", hornbeamwell.ErrNotRun)
	errLinkClosed           = errors.New("connection closed")
	errStopped              = errors.New("ledger stopped")
)

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
