// Package instance assembles one process of the system from its settings. A
// process contains a proxy, a control instance, a relay, or a proxy together
// with one of the other two. The local target of a process is the one that
// announces itself to its proxy.
//
// New opens the listeners. Run starts every component on a goroutine of its own
// and stops all of them when one fails, or after the drain when its context
// ends.
package instance
