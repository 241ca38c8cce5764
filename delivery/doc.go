// Package delivery distributes configurations and the presence of targets from
// the leader to every proxy, and returns acknowledgements, target announcements
// and observations to the leader.
//
// A Source runs in every control instance and relay and serves sessions to
// proxies. The leader's source also serves relays and the other control
// instances, its followers. An Upstream runs beside each source and keeps a
// session with the leader open while its process does not lead. A Subscriber
// runs in every proxy and keeps a session with a source open.
//
// Source.Step and Upstream.Step run on the goroutine of the blackboard's loop.
// Message handlers run on the goroutine that reads their connection. Those that
// use the board, the registry or the membership of targets post events to the
// loop. Each session of a source has a goroutine that writes its messages.
// Upstream.Run and Subscriber.Run block their caller.
package delivery
