// Package demo runs the whole system in one process on loopback addresses:
// control instances, proxies, stand-in targets and a load of calls. It moves one
// service to a good version and another to a failing one, restarts the leader,
// and checks what callers and operators observed.
//
// It runs in the process of the command "hornbeamwell demo". Run executes the
// steps on the calling goroutine, except for the wait for the good move.
// Instances, targets and the load run on goroutines of their own, which have ended
// when Run returns; the goroutine of the version watcher may end shortly after.
package demo
