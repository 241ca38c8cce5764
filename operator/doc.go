// Package operator implements the operator API of a control instance: reading
// and changing the configuration, starting and controlling moves, and changing
// the members of the ledger.
//
// A Service runs in every control instance. The leader runs the calls; the
// other instances forward them to it. Get is the exception: every instance
// returns its own copy of the configuration once that is as new as the leader's.
// Calls run on the goroutines of their requests and read the blackboard on the
// goroutine of its loop.
package operator
