// Package target tracks the targets of the mesh, from the announcement of a
// target to the set of targets that are present.
//
// An Announcer runs in each proxy process. It accepts the announcements of the
// local target, over its HTTP API or by method calls, tracks the target's lease
// and drains it. Its methods may be called from any goroutine.
//
// A Membership runs in each source, that is in control instances and relays. It
// merges the announcements of downstream sessions with the targets received
// from the leader, expires leases and writes the result to the blackboard. All
// its methods run on the goroutine of the blackboard's loop.
package target
