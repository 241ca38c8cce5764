// Package proxy implements the data path. The entry side of a Proxy accepts
// calls from callers, selects a target and sends the call to the exit side of
// the proxy beside that target. The exit side admits calls from entry proxies
// and forwards them to its local target over loopback.
//
// A Proxy runs in every process that has the proxy role. Calls run on the
// goroutines of the HTTP servers of EntryServer and ExitServer. They read the
// immutable routing table and the local target without locks. Update replaces
// the table and SetLocalTarget the local target, from any goroutine.
package proxy
