// Package soak runs the program as separate processes on one machine, injects
// faults from outside them and checks the promises of the project from what
// callers, targets and operators see.
package soak
