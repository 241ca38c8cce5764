// Package delivery distributes configurations and the presence of targets from
// the leader to every proxy, and returns acknowledgements, target announcements
// and observations to the leader.
//
// A Source runs in every control instance and relay and serves sessions to the
// level below it. An Upstream runs beside it and keeps its session with the
// leader. A Subscriber runs in every proxy and keeps its session with a source.
//
// Source.Step and Upstream.Step run on the goroutine of the blackboard's loop.
// Message handlers run on the goroutine that reads their connection and post
// events to the loop. Each session of a source has a goroutine that writes its
// messages. Upstream.Run and Subscriber.Run block their caller.
package delivery
