// Package measure measures what the system costs: processor time, memory, bytes
// on connections, latency and convergence time. A measurement runs one control
// instance with proxies, targets or bare control sessions in its own process,
// connected over real sockets, varies one quantity, and fits a straight line
// through the measured points. Two measurements need no sockets: state loads a
// proxy in memory, and moves simulates generated moves.
//
// It runs in the process of the command "hornbeamwell measure". Run measures one
// point after the other on the calling goroutine; instances, targets, sessions
// and load run on goroutines of their own.
package measure
