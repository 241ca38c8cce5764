// Package review decides what is wrong with a configuration before it is sent to the
// control instances: the faults for which these would refuse it, entries that can never
// match, limits that contradict each other, and the differences from the version in
// force. It reads no file and opens no connection.
package review
