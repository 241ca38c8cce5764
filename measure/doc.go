// Package measure measures what the system costs: processor time, memory, bytes
// on connections, latency and convergence time. A measurement varies one quantity
// and fits a straight line through the measured points. Most measurements run one
// control instance with proxies, targets or bare control sessions in one process,
// connected over real sockets. Two need no sockets: state applies a configuration
// and targets to a proxy in memory, and moves simulates generated moves.
//
// It runs in the process of the command "hornbeamwell measure". Run measures one
// point after the other on the calling goroutine; instances, targets, sessions
// and load run on goroutines of their own.
package measure
