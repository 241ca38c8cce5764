// Package trial measures the decisions about moves on generated calls. It
// draws the observations of a move from distributions, feeds them to the policy
// and to a plain baseline, and counts what became of good and bad versions. It
// simulates no cluster: proxies and targets appear only as numbers.
package simulation
