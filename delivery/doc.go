// Package delivery brings configurations and the presence of targets from the
// leader to every proxy and brings acknowledgements back.
//
// A Source serves sessions to the level below it. An Upstream is the session
// of a source with the leader, a Subscriber that of a proxy with a source.
package delivery
