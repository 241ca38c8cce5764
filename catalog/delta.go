package catalog

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// deltaDictionary is the number by which both ends of a delta name its base.
const deltaDictionary = 1

// maxDocumentBytes bounds a document that a delta may grow to.
const maxDocumentBytes = 64 << 20

// encodeDelta returns what leads from the base document to the next one. Of a
// change of a few lines it holds little more than those lines.
func encodeDelta(base, next []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(deltaDictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return encoder.EncodeAll(next, nil), nil
}

// applyDelta returns the document that the delta leads to from the base.
func applyDelta(base, delta []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(deltaDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode the document: %w", err)
	}
	defer decoder.Close()
	next, err := decoder.DecodeAll(delta, nil)
	if err != nil {
		return nil, fmt.Errorf("decode the document: %w", err)
	}
	return next, nil
}
