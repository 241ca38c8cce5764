// Package examples holds settings and configurations of example deployments, one
// folder each. It has no code outside its test, which loads and checks them all.
package examples
