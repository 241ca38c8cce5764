package standin

import (
	"encoding/hex"
	"hash/fnv"
	"strconv"
	"time"
)

// Headers of calls to a stand-in target and of its responses.
const (
	// HeaderRequestID carries the id of a request; the response repeats it.
	HeaderRequestID = "Request-Id"
	// HeaderKey carries the idempotency key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderVersion carries the version of the target that responded.
	HeaderVersion = "Target-Version"
	// HeaderCrash on a request crashes the target that runs it.
	HeaderCrash = "Standin-Crash"
	// HeaderResponseBytes on a request is the size of the response to send.
	HeaderResponseBytes = "Standin-Answer-Bytes"
	// HeaderChunked on a request asks for a response without a length.
	HeaderChunked = "Standin-Chunked"
	// HeaderBodyDelay on a request is the time in milliseconds between the header and the
	// body of the response.
	HeaderBodyDelay = "Standin-Body-Delay"
	// HeaderTarget carries the name of the target that responded.
	HeaderTarget = "Target-Name"
)

// MaxResponseBytes bounds the response of a stand-in target.
const MaxResponseBytes = 4 << 20

// maxBodyDelay bounds the time between the header and the body of a response.
const maxBodyDelay = time.Minute

// ResponseBody returns the body that a target sends for a request: the id and
// the digest of the request body on a line, repeated up to the size. The first
// line is always complete.
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

// bodyDelay parses the time between the header and the body of a response, and limits it to
// maxBodyDelay. It is 0 if the header holds no number.
func bodyDelay(header string) time.Duration {
	milliseconds, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return min(max(time.Duration(milliseconds)*time.Millisecond, 0), maxBodyDelay)
}

// responseSize parses the size that a request asks for and limits it to
// MaxResponseBytes. It is 0 if the header holds no number.
func responseSize(header string) int {
	size, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return min(max(size, 0), MaxResponseBytes)
}
