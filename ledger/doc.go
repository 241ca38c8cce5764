// Package ledger is the replicated log of the control instances. It agrees on
// a sequence of commands among voters and applies them to a machine.
//
// The core is a deterministic state machine: Step takes the present time and an
// event and returns effects. Sockets, disks and clocks stay in the driver.
package ledger
