// Package operator implements the operator API of a control instance: reading
// and changing the configuration, starting and controlling moves, and changing
// the members of the ledger.
//
// A Service runs in every control instance. The leader runs the calls; the
// other instances forward them to it. Calls run on the goroutines of their
// requests and read the blackboard on the goroutine of its loop.
package operator
