// Package route makes the routing decisions of the data path: it matches calls
// to routes, picks targets, limits concurrency, bounds retries, ejects failing
// targets and decides whether a call with an idempotency key may run.
//
// The package runs in every proxy and does no input or output. It starts
// no goroutine: the goroutines of the calls use it, under locks of package proxy
// where a type is not safe for concurrent use. Functions take the current time
// and the source of randomness as arguments.
package route
