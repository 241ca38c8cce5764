// Package ledger implements the replicated log of the control instances. The
// voters agree on a sequence of commands, and every instance applies the
// committed commands to its state machine. The protocol follows Raft, with
// pre-votes, leader leases, learners and changes of one member at a time.
//
// Every control instance runs a Ledger. The core is a protocol state machine
// without I/O or a clock of its own: Step takes the current time and an event
// and returns effects. Ledger.Run drives the core on a single goroutine, which
// also calls the StateMachine, OnApplied and OnLeadership. Storage writes and
// each connection have their own goroutines. Inspect and Recover run in the
// command line tool, on the data folder of a stopped instance.
package ledger
