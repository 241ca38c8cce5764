// Package simulation measures the decisions of package move on generated calls.
// It draws the observations of a move from probability distributions, runs the
// policy and a simple baseline on them, and counts how moves to good and bad
// versions end. It simulates no cluster: proxies and targets appear only as
// numbers. Tests and measurements run it; it is not part of any server process.
package simulation
