// Package connection bounds what the clients of a process can make it hold. A [Table] has
// one budget for the whole process, in connections and in bytes of memory. Each accepted
// connection draws from it for what it has sent and not yet released: an unfinished head or
// body, the streams of an HTTP/2 connection, an unfinished message between processes, a
// response that is not read. So do connections that the process opens, and what handlers
// retain while they decode a request.
//
// If the budget is used up, connections are closed, first those that are idle, unfinished or
// large, so that callers with ordinary requests are still served. Each listener has a reserve
// that a crowd at another listener can't use.
//
// A Table is safe for concurrent use. It has no goroutine of its own: it works on those that
// read, accept and handle.
package connection
