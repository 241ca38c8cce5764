// Package hornbeamwell defines the domain types of the configuration
// distribution system and the interfaces that have several implementations. It
// is used in every process and starts no goroutines. The packages below it
// contain the implementations.
//
// Domain types have no struct tags. Package wire maps them to messages.
package hornbeamwell
