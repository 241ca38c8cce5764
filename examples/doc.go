// Package examples holds the settings and configurations of two deployments.
// Its test loads and checks all of them.
package examples
