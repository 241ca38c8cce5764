// Package route makes the routing decisions of the data path: it matches calls
// to routes, picks targets, limits concurrency, bounds retries, ejects failing
// targets, schedules long responses on the network link, finds the requests that
// crash targets and decides whether a call with an idempotency key may run.
//
// The package runs in every proxy. It does no input or output and starts no
// goroutine. Types that are not safe for concurrent use are guarded by the locks
// of package proxy. Functions take the current time and the source of randomness
// as arguments.
package route
