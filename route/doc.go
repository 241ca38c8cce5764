// Package route holds the decisions of the data path: matching, picking,
// limits, retries and deduplication. Its deciders do no input or output and
// take the present time and the source of randomness as arguments.
package route
