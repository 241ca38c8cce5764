package target

import "fmt"

// StaleIncarnationError is the error for an announcement of an incarnation
// older than the current one. The announcement changed nothing.
type StaleIncarnationError struct {
	// Given is the announced incarnation, Known the highest one seen.
	Given, Known uint64
}

// Error implements error.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("incarnation %d is older than %d, which was announced already", e.Given, e.Known)
}
