// Package wire carries messages between the processes of the system. It has a
// JSON-RPC 2.0 transport over TCP with length-prefixed messages, the messages
// themselves, and the functions that map domain types to them.
//
// It runs in every process. Each connection has a goroutine that reads it and
// runs the handlers of Handle; handlers of HandleConcurrent run on goroutines of
// their own. A call blocks the goroutine that makes it.
package wire
