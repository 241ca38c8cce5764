// Package quota holds the decisions of the quota of a team over all proxies. The owner
// of a team, one of the proxies, grants tokens; the entry sides of all proxies ask for
// them ahead of the calls and spend one for each call. All types are state machines
// without sockets and goroutines: the time and the randomness are arguments. None is
// safe for concurrent use.
package quota
