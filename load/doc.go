// Package load sends an open-loop load of bounded size to entry proxies and
// checks that each caller receives the complete response to its own request.
//
// It runs in the process of the callers: the load command, the demonstration,
// the soak or a measurement. Load.Run blocks until the last call has ended;
// each call has a goroutine of its own.
package load
