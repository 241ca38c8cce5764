package standin

import (
	"encoding/hex"
	"hash/fnv"
	"strconv"
)

// Headers of calls to a stand-in target and of its answers.
const (
	// HeaderRequestID carries the id of a request; the answer repeats it.
	HeaderRequestID = "Request-Id"
	// HeaderKey carries the idempotency key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderVersion names the version that answered.
	HeaderVersion = "Target-Version"
	// HeaderCrash on a request crashes the target that runs it.
	HeaderCrash = "Standin-Crash"
	// HeaderResponseBytes on a request is the size of the answer to send.
	HeaderResponseBytes = "Standin-Answer-Bytes"
)

// MaxResponseBytes bounds the answer of a stand-in target.
const MaxResponseBytes = 4 << 20

// ResponseBody returns the body that a target sends for a request. Its size is at
// least that of the id and the digest of the request's body.
func ResponseBody(id string, requestBody []byte, size int) []byte {
	digest := fnv.New64a()
	_, _ = digest.Write(requestBody)
	head := id + " " + hex.EncodeToString(digest.Sum(nil)) + "\n"
	body := make([]byte, 0, max(size, len(head)))
	body = append(body, head...)
	for len(body) < size {
		body = append(body, head[:min(len(head), size-len(body))]...)
	}
	return body
}

// answerSize reads the size that a request asks for.
func answerSize(header string) int {
	size, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return min(max(size, 0), MaxResponseBytes)
}
