// Package console is the client of the operator API. It runs in the process of
// the command line and of other tools that operate a deployment.
//
// Call sends a command from the calling goroutine. It tries the control instances
// in turn and sends a command again with the same request id when the response is
// lost.
package console
