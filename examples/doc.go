// Package examples holds settings and configurations of deployments.
// Its test loads and checks all of them.
package examples
