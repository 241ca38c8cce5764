package connection

import "bytes"

// Estimates of the memory of a decoded JSON document, for each of its bytes, objects, and
// elements or lists. A document of empty objects takes hundreds of times its size.
const (
	textFactor   = 3
	objectBytes  = 768
	elementBytes = 96
)

// DocumentBytes estimates the memory that a JSON document takes while it is decoded and
// handled.
func DocumentBytes(document []byte) int64 {
	return textFactor*int64(len(document)) + objectBytes*int64(bytes.Count(document, []byte{'{'})) +
		elementBytes*int64(bytes.Count(document, []byte{','})+bytes.Count(document, []byte{'['}))
}
