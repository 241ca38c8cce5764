package target

import "fmt"

// StaleIncarnationError is the answer to the announcement of a target that was
// started again since. The announcement changed nothing.
type StaleIncarnationError struct {
	Given, Known uint64
}

// Error describes the error.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("incarnation %d is older than %d, which was announced already", e.Given, e.Known)
}
