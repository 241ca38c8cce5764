// Package move decides about traffic moves. A move brings the calls of a
// service from one target version to another by a deadline, and takes them
// back when the new version turns out to be bad.
//
// The decisions are pure functions of the durable move, the evidence collected
// by the leader and the present time. Each one is made durable before proxies
// carry it out.
package move
