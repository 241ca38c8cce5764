package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"testing"
)

func frame(size uint64, content string) *bufio.Reader {
	return bufio.NewReader(strings.NewReader(string(binary.AppendUvarint(nil, size)) + content))
}

// TestFrameAllocatesWhatArrives guards against connections that state a large size and send
// nothing. A hundred of them would exhaust the memory of the process.
func TestFrameAllocatesWhatArrives(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		var message json.RawMessage
		if err := (frameCodec{conn: &timedConn{}}).ReadObject(frame(MaxFrameBytes, "{}"), &message); err == nil {
			t.Fatal("a message that ends early is read")
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 20<<20 {
		t.Errorf("20 connections made the process allocate %d MB", allocated>>20)
	}
}

// TestOddFramesEndOnlyTheirConnection checks that frames of any content are either read or
// an error, and exhaust neither stack nor memory.
func TestOddFramesEndOnlyTheirConnection(t *testing.T) {
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for name, stream := range map[string]*bufio.Reader{
		"nested":         frame(uint64(len(nested)), nested),
		"nested objects": frame(600_000, strings.Repeat(`{"a":`, 120_000)),
		"too large":      frame(MaxFrameBytes+1, "{}"),
		"size of 2^64-1": frame(1<<64-1, "{}"),
		"size overflow":  bufio.NewReader(bytes.NewReader(bytes.Repeat([]byte{0xff}, 20))),
		"trailing bytes": frame(4, "{}{}"),
		"no JSON":        frame(4, "\x00\xff\xfe{"),
		"empty":          frame(0, ""),
		"HTTP":           bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\n\r\n")),
	} {
		var message struct{ Params List[Target] }
		if err := (frameCodec{conn: &timedConn{}}).ReadObject(stream, &message); err == nil {
			t.Errorf("%s: read as %+v", name, message)
		}
	}
	large := `"` + strings.Repeat("x", 3<<20) + `"`
	var text string
	if err := (frameCodec{conn: &timedConn{}}).ReadObject(frame(uint64(len(large)), large), &text); err != nil || len(text) != len(large)-2 {
		t.Errorf("%d bytes of a large message are read, %v", len(text), err)
	}
}

// TestOddPartsAreErrors does the same for packed parts.
func TestOddPartsAreErrors(t *testing.T) {
	packed, err := PackPart(&Part{Version: 7, Put: []json.RawMessage{[]byte(`{"target":{}}`)}})
	if err != nil {
		t.Fatal(err)
	}
	for name, odd := range map[string][]byte{
		"nested":         append([]byte{packedPlain}, `{"put":`+strings.Repeat("[", 100_000)...),
		"version":        append([]byte{packedPlain}, `{"version":1e400}`...),
		"encoding":       {9, 1, 2},
		"cut":            packed[:len(packed)/2],
		"no compression": {packedDeflate, 0xff, 0xff},
		"trailing bytes": append(bytes.Clone(packed), `{"version":9}`...),
		"trailing junk":  append(bytes.Clone(packed), '}'),
	} {
		if part, err := UnpackPart(odd); err == nil {
			t.Errorf("%s: read as %+v", name, part)
		}
	}
	if part, err := UnpackPart(packed); err != nil || part.Version != 7 {
		t.Errorf("read %+v, %v", part, err)
	}
}

// FuzzFrames reads any bytes as a frame and as a part.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{"\x02{}", "\x04null", "\x0f[{\"Slots\":1e400}", "\x01\x9a\x80", "\x00{\"put\":[null,{}]}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var message List[Target]
		_ = (frameCodec{conn: &timedConn{}}).ReadObject(bufio.NewReader(io.LimitReader(bytes.NewReader(data), 1<<20)), &message)
		_ = ToTargets(message)
		_, _ = UnpackPart(data)
	})
}
