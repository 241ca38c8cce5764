package route

import "math/rand/v2"

// Random is the source of randomness of the package.
type Random interface {
	// IntN returns a number from 0 to n-1. n is greater than zero.
	IntN(n int) int
}

// GlobalRandom is the global source of math/rand/v2. It is safe for concurrent
// use.
type GlobalRandom struct{}

// IntN returns a number from 0 to n-1.
func (GlobalRandom) IntN(n int) int { return rand.IntN(n) }
