// Package soak runs a site of hornbeamwell processes on one machine, injects
// faults from outside them and checks the guarantees of the project as callers,
// targets and operators observe them.
//
// Run blocks in the process of the soak command or of a test, which also hosts
// the callers, the stand-in targets and the forwarders. Each event, each check
// that accompanies the events and each forwarded connection has goroutines of its
// own. Only a FaultyFolder belongs to another process: it wraps the data folder of
// a control instance.
package soak
