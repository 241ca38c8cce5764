// Package hornbeamwell holds the domain types of the configuration
// distribution system and the interfaces of the behaviour that varies. The
// implementations stand in the packages below it.
//
// Domain types carry no tags. Package wire maps them to messages by hand.
package hornbeamwell
