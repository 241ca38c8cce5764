package catalog

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// deltaDictionaryID is the zstd dictionary ID of the base document. The encoder
// and the decoder must use the same ID.
const deltaDictionaryID = 1

// maxDocumentBytes is the maximum size of a document decoded from a delta.
const maxDocumentBytes = 64 << 20

// encodeDelta returns the delta from the base document to the next one. The
// delta for a change of a few lines is little larger than those lines.
func encodeDelta(base, next []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(deltaWindow(len(base) + len(next))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(deltaDictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode document delta: %w", err)
	}
	return encoder.EncodeAll(next, nil), nil
}

// deltaWindow returns the smallest window of an encoder that covers the given number
// of bytes. An encoder allocates twice its window at once, and the default of several
// megabytes would be the largest part of a control instance's memory.
func deltaWindow(bytes int) int {
	window := zstd.MinWindowSize
	for window < bytes && window < zstd.MaxWindowSize {
		window *= 2
	}
	return window
}

// applyDelta returns the document that results from applying the delta to the
// base.
func applyDelta(base, delta []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(deltaDictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode document delta: %w", err)
	}
	defer decoder.Close()
	next, err := decoder.DecodeAll(delta, nil)
	if err != nil {
		return nil, fmt.Errorf("decode document delta: %w", err)
	}
	return next, nil
}
