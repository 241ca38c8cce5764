package connection

import (
	"strings"
	"testing"
)

// feed meters the text in pieces of the given size.
func feed(m *meter, text string, piece int, stage Stage, bodyLimit int64) {
	for len(text) > 0 {
		n := min(piece, len(text))
		m.add([]byte(text[:n]), stage, bodyLimit)
		text = text[n:]
	}
}

// TestHeadOfManyFields guards against a head that is counted by its bytes: a field of a few
// bytes takes many times as much as an entry of a map.
func TestHeadOfManyFields(t *testing.T) {
	t.Parallel()
	var long, many meter
	feed(&long, "GET / HTTP/1.1\r\nA: "+strings.Repeat("x", 60_000), 4096, StageHead, 0)
	feed(&many, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 15_000), 4096, StageHead, 0)
	if long.total < 60_000 || many.total < 15_000*100 {
		t.Errorf("a long field counts as %d bytes, 15,000 fields as %d", long.total, many.total)
	}
	before := many.total
	if change := many.reset(); change != -before || many.total != 0 {
		t.Errorf("%d bytes remain of %d after the request", before+change, before)
	}
}

// TestStreamedBodyIsBounded guards against a body that is sent on and counts as if it were
// held as a whole.
func TestStreamedBodyIsBounded(t *testing.T) {
	t.Parallel()
	var streamed, whole meter
	body := strings.Repeat("x", 1<<20)
	feed(&streamed, body, 4096, StageBody, 100_000)
	feed(&whole, body, 4096, StageBody, 0)
	if streamed.total != 100_000 {
		t.Errorf("a streamed body counts as %d bytes", streamed.total)
	}
	if whole.total < 2<<20 {
		t.Errorf("a body that is read as a whole counts as %d bytes", whole.total)
	}
}

func frameOf(kind, flags byte, payload string) string { return frameOn(0, kind, flags, payload) }

func frameOn(stream int, kind, flags byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, 0, 0, byte(stream >> 8), byte(stream)}) + payload
}

// TestStreams guards against frames that are not counted, or that still count once their
// requests have ended, whatever the pieces in which they arrive.
func TestStreams(t *testing.T) {
	t.Parallel()
	for _, piece := range []int{1, 7, 24, 4096} {
		var m meter
		feed(&m, http2Preface, piece, StageHead, 0)
		if m.streams == nil {
			t.Fatalf("pieces of %d bytes: HTTP/2 is not recognized", piece)
		}
		idle := m.total
		for i := range 10 {
			feed(&m, frameOn(2*i+1, frameHeaders, 4, strings.Repeat("h", 100))+frameOn(2*i+1, frameData, 0, strings.Repeat("d", 1000)), piece, StageIdle, 0)
		}
		if held := m.total - idle; held < 10*(streamBytes+100*blockByteFactor+1000) {
			t.Errorf("pieces of %d bytes: ten streams count as %d bytes", piece, held)
		}
		for range 10 {
			m.begin(500)
		}
		m.consumed(5000)
		for range 10 {
			m.end(500)
		}
		if held := m.total - idle; held < 10*streamBytes+5000 {
			t.Errorf("pieces of %d bytes: ten streams whose responses are not sent count as %d bytes", piece, held)
		}
		for i := range 10 {
			response := frameOn(2*i+1, frameHeaders, 4, "h") + frameOn(2*i+1, frameData, 0, "d") + frameOn(2*i+1, frameData, flagEndStream, "")
			for len(response) > 0 {
				n := min(piece, len(response))
				m.sent([]byte(response[:n]))
				response = response[n:]
			}
		}
		if held := m.total; held != multiplexedBytes {
			t.Errorf("pieces of %d bytes: %d bytes remain after all requests", piece, held-multiplexedBytes)
		}
	}
}

// TestControlFrames guards against replies to control frames that are not counted while the
// client does not read them.
func TestControlFrames(t *testing.T) {
	t.Parallel()
	var m meter
	feed(&m, http2Preface, 24, StageHead, 0)
	idle := m.total
	feed(&m, strings.Repeat(frameOf(framePing, 0, "12345678"), 1000)+strings.Repeat(frameOf(framePing, 1, "12345678"), 1000), 4096, StageIdle, 0)
	if held := m.total - idle; held != 1000*replyBytes {
		t.Errorf("1,000 pings and as many replies to pings count as %d bytes", held)
	}
	m.sent([]byte(strings.Repeat(frameOf(framePing, 1, "12345678"), 1000)))
	if held := m.total - idle; held != 0 {
		t.Errorf("%d bytes remain after all replies were sent", held)
	}
}

// TestOtherProtocolIsNoHTTP2 guards against a request that begins like the preface.
func TestOtherProtocolIsNoHTTP2(t *testing.T) {
	t.Parallel()
	var m meter
	feed(&m, "PRI * HTTP/1.1\r\nHost: a\r\n\r\n", 3, StageHead, 0)
	if m.streams != nil {
		t.Error("a request counts as HTTP/2")
	}
}

// TestResetStreams guards against streams that the client has reset and that still count once no
// request is served, and against ones that don't count while their handlers run.
func TestResetStreams(t *testing.T) {
	t.Parallel()
	var m meter
	feed(&m, http2Preface, 24, StageHead, 0)
	for i := range 2000 {
		feed(&m, frameOn(2*i+1, frameHeaders, 4, "head")+frameOn(2*i+1, frameReset, 0, "1234"), 4096, StageIdle, 0)
		if i < MaxStreams {
			m.begin(100)
		}
	}
	if least := int64(MaxStreams+maxStreamsWaiting) * streamBytes; m.total < least {
		t.Errorf("%d streams that run and %d that wait count as %d bytes", MaxStreams, maxStreamsWaiting, m.total)
	}
	for range MaxStreams {
		m.end(100)
	}
	m.sent(make([]byte, 100_000))
	if held := m.total - multiplexedBytes; held != 0 {
		t.Errorf("%d bytes remain", held)
	}
}
