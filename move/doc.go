// Package move decides about moves, the progressive delivery of hornbeamwell. A
// move shifts the calls of a service in stages from one target version, the old
// one, to another, the canary. It is planned to end by a deadline, and a canary that
// fails or is slow is taken back: its share returns to zero.
//
// Policy.Decide is a pure function of the committed move, the evidence collected by
// the leader, the state of targets and proxies, and the present time. The evidence
// consists of sequential tests (e-processes) that compare the failures and
// latencies of both versions.
//
// Controller runs in the process of each control instance, on the goroutine of
// the blackboard's loop. Only the controller of the leader decides. A decision
// is committed to the ledger before proxies carry it out.
package move
