package connection

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// headByteFactor is the memory for each byte of a head: what was read, the copy that is
	// parsed, and the room to grow of a buffer.
	headByteFactor = 3
	// fieldBytes is the memory for each header field of a parsed head besides its bytes.
	fieldBytes = 112
	// bodyByteFactor is the memory for each byte of a body that a handler reads as a whole.
	bodyByteFactor = 3
)

// http2Preface is what a client of HTTP/2 sends first.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// meter estimates what the received bytes of an HTTP connection make the process hold.
type meter struct {
	// total is the estimate.
	total int64
	// body is the number of received bytes of the present body.
	body int64
	// prefix is the number of bytes at the start of the connection that agree with
	// http2Preface, -1 once one does not.
	prefix int
	// streams meters a connection of HTTP/2, nil for HTTP/1.1.
	streams *streamMeter
}

// add meters received bytes and returns the change of the estimate. The stage is the one
// before the bytes. bodyLimit is the largest part of a body that handlers hold, 0 if they read
// it as a whole.
func (m *meter) add(b []byte, stage Stage, bodyLimit int64) int64 {
	before := m.total
	b = m.matchPreface(b)
	switch {
	case m.streams != nil:
		m.streams.receive(b)
		m.total = m.streams.bytes()
	case stage != StageBody:
		m.total += headByteFactor*int64(len(b)) + fieldBytes*int64(bytes.Count(b, []byte{'\n'}))
	case bodyLimit > 0:
		m.total += min(m.body+int64(len(b)), bodyLimit) - min(m.body, bodyLimit)
		m.body += int64(len(b))
	default:
		m.total += bodyByteFactor * int64(len(b))
	}
	return m.total - before
}

// matchPreface compares the start of the connection with the preface of HTTP/2. It returns
// the bytes without those of the preface, if it is one.
func (m *meter) matchPreface(b []byte) []byte {
	if m.prefix < 0 || m.streams != nil {
		return b
	}
	n := min(len(b), len(http2Preface)-m.prefix)
	if !strings.HasPrefix(http2Preface[m.prefix:], string(b[:n])) {
		m.prefix = -1
		return b
	}
	m.prefix += n
	if m.prefix < len(http2Preface) {
		return b
	}
	m.streams = newStreamMeter()
	return b[n:]
}

// begin records that a request with the head begins to be served, end that it has ended. Both
// return the change of the estimate.
func (m *meter) begin(head int64) int64 {
	before := m.total
	if m.streams == nil {
		// The head is copied for the request that is sent on.
		m.total += head
	} else {
		m.streams.begin(2 * head)
		m.total = m.streams.bytes()
	}
	return m.total - before
}

func (m *meter) end(head int64) int64 {
	if m.streams == nil {
		// The server may still read the rest of the body. See reset.
		return 0
	}
	before := m.total
	m.streams.end(2 * head)
	m.total = m.streams.bytes()
	return m.total - before
}

// consumed records that a handler has read bytes of a body, sent that bytes were sent. Both
// return the change of the estimate.
func (m *meter) consumed(n int64) int64 {
	if m.streams == nil {
		return 0
	}
	before := m.total
	m.streams.data = max(m.streams.data-n, 0)
	m.total = m.streams.bytes()
	return m.total - before
}

func (m *meter) sent(b []byte) int64 {
	if m.streams == nil {
		return 0
	}
	before := m.total
	m.streams.send(b)
	m.total = m.streams.bytes()
	return m.total - before
}

// reset records that the connection of HTTP/1.1 is idle and returns the change of the estimate.
func (m *meter) reset() int64 {
	if m.streams != nil {
		return 0
	}
	before := m.total
	m.total, m.body = 0, 0
	return -before
}

// headBytes returns the memory for a parsed head.
func headBytes(h http.Header) int64 {
	n := int64(0)
	for name, values := range h {
		n += int64(len(name))
		for _, value := range values {
			n += fieldBytes + int64(len(value))
		}
	}
	return n
}
